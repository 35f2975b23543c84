/** In-memory network that loses, delays and reorders messages, and can make connections unresponsive. For tests. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter, Transport, UnaryResponse } from '@connectrpc/connect';
import type { Clock } from '@jasmineroute/core';
import type { ProcessClock } from './processClock.js';

type Handler = (request: unknown) => Promise<unknown>;
type Handlers = Record<string, Handler>;

/** A request or a response in transit. */
export interface Message {
  readonly from: string;
  readonly to: string;
  readonly method: string;
  readonly isAnswer: boolean;
  readonly content: unknown;
}

/** A message that is held back until it is released. */
interface HeldMessage {
  readonly message: Message;
  readonly release: () => void;
}

/** One connection. A silent one delivers nothing and never fails. */
interface Connection {
  readonly createTransport: Transport;
  /** Callbacks that abort the calls in progress. */
  readonly openCalls: Set<() => void>;
  /** Requests being transmitted. */
  inFlight: number;
  isDropped: boolean;
  isSilent: boolean;
}

const linkOf = (from: string, to: string): string => `${from}>${to}`;

/** Replicas by address, and the links between them. */
export class MemoryNetwork {
  /** Fraction of messages that are lost. */
  loss = 0;
  /** Longest one-way delay, in milliseconds; drawn for each message. */
  maxDelayMs = 10;
  /** Further delay of a message, in milliseconds. */
  extraDelayMs: (message: Message) => number = () => 0;
  /** Bandwidth of a connection in bytes per millisecond, shared by the requests on it. */
  bytesPerMs = Infinity;
  /** Selects the messages to hold back until they are released. */
  isHeld: (message: Message) => boolean = () => false;
  private heldMessages: HeldMessage[] = [];
  private readonly clocks = new Map<string, ProcessClock>();
  private readonly servers = new Map<string, Handlers>();
  private readonly connections = new Map<string, Connection>();
  private readonly cuts = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Serves the services of `routes` at an address. With `clock`, messages arrive only while its process is running. */
  serve(address: string, routes: (router: ConnectRouter) => void, clock?: ProcessClock): void {
    const handlers: Handlers = {};
    const service = (_: unknown, implementation: Handlers): void => {
      Object.assign(handlers, implementation);
    };
    routes({ service } as unknown as ConnectRouter);
    this.servers.set(address, handlers);
    if (clock !== undefined) this.clocks.set(address, clock);
  }

  /** Stops serving at an address; calls to it are refused. */
  unserve(address: string): void {
    this.servers.delete(address);
    this.clocks.delete(address);
  }

  connect(from: string, to: string): Transport {
    const link = linkOf(from, to);
    const known = this.connections.get(link);
    if (known !== undefined) return known.createTransport;
    const connection: Connection = {
      createTransport: this.transport(from, to),
      openCalls: new Set(),
      inFlight: 0,
      isDropped: false,
      isSilent: false,
    };
    this.connections.set(link, connection);
    return connection.createTransport;
  }

  drop(from: string, to: string): void {
    const connection = this.connections.get(linkOf(from, to));
    if (connection === undefined) return;
    connection.isDropped = true;
    this.connections.delete(linkOf(from, to));
    for (const end of connection.openCalls) end();
  }

  /** Makes the existing connections between two replicas unresponsive; new ones work. */
  silence(a: string, b: string): void {
    for (const link of [linkOf(a, b), linkOf(b, a)]) {
      const connection = this.connections.get(link);
      if (connection !== undefined) connection.isSilent = true;
    }
  }

  /** Drops all messages between two replicas. */
  cut(a: string, b: string): void {
    this.cuts.add(linkOf(a, b)).add(linkOf(b, a));
  }

  /** Drops all messages from one replica to another, but not in the other direction. */
  cutOneWay(from: string, to: string): void {
    this.cuts.add(linkOf(from, to));
  }

  /** Restores all links. */
  heal(): void {
    this.cuts.clear();
  }

  /** Delivers held messages and returns them. */
  release(isReleased: (message: Message) => boolean = () => true): Message[] {
    const waitForRelease = this.heldMessages.filter(({ message }) => isReleased(message));
    this.heldMessages = this.heldMessages.filter((held) => !waitForRelease.includes(held));
    for (const { release } of waitForRelease) release();
    return waitForRelease.map(({ message }) => message);
  }

  private transport(from: string, to: string): Transport {
    const unary = async <I extends DescMessage, O extends DescMessage>(
      method: DescMethodUnary<I, O>,
      signal: AbortSignal | undefined,
      _timeoutMs: number | undefined,
      _header: unknown,
      input: MessageInitShape<I>,
    ): Promise<UnaryResponse<I, O>> => {
      const connection = this.connections.get(linkOf(from, to));
      const request = copy(method.input, create(method.input, input));
      const requestMessage = { from, to, method: method.localName, isAnswer: false, content: request };
      if (this.bytesPerMs < Infinity)
        await this.transmit(toBinary(method.input, request).length, connection, signal);
      await this.deliver(requestMessage, connection, signal);
      const handler = this.servers.get(to)?.[method.localName];
      if (handler === undefined) throw connectionRefused();
      const answer = await untilAborted(Promise.resolve(handler(request)), connection, signal);
      const message = copy(method.output, answer as MessageShape<O>);
      const responseMessage = {
        from: to,
        to: from,
        method: method.localName,
        isAnswer: true,
        content: message,
      };
      await this.deliver(responseMessage, connection, signal);
      const headers = { header: new Headers(), trailer: new Headers() };
      return { stream: false, service: method.parent, method, message, ...headers };
    };
    return { unary, stream: () => Promise.reject(new Error('not used')) };
  }

  /** Resolves when the bytes of a request are transmitted, or when the call is aborted. */
  private async transmit(
    bytes: number,
    connection: Connection | undefined,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    if (connection === undefined) return;
    const isAborted = (): boolean => signal?.aborted === true || connection.isDropped;
    connection.inFlight += 1;
    for (let left = bytes; left > 0 && !isAborted(); left -= this.bytesPerMs / connection.inFlight)
      await this.clock.sleep(1);
    connection.inFlight -= 1;
  }

  /** Resolves when the message arrives. The call of a lost one ends only when the caller aborts it. */
  private async deliver(
    message: Message,
    connection: Connection | undefined,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const { from, to } = message;
    const isLost = connection?.isSilent === true || this.random() < this.loss;
    if (!isLost) await this.clock.sleep(this.random() * this.maxDelayMs + this.extraDelayMs(message));
    if (signal?.aborted === true || connection?.isDropped === true) throw aborted();
    if (isLost || this.cuts.has(linkOf(from, to))) await untilAborted(never(), connection, signal);
    if (this.isHeld(message)) await untilAborted(this.released(message), connection, signal);
    const clock = this.clocks.get(to);
    if (clock?.isStalled === true) await untilAborted(clock.waitForInput(), connection, signal);
  }

  private released(message: Message): Promise<void> {
    return new Promise((release) => {
      this.heldMessages.push({ message, release });
    });
  }
}

const never = (): Promise<void> => new Promise(() => undefined);

/** Waits for an arrival or an answer; rejects when the call is aborted or its connection dropped before. */
const untilAborted = <T>(
  awaited: Promise<T>,
  connection: Connection | undefined,
  signal: AbortSignal | undefined,
): Promise<T> =>
  new Promise((resolve, reject) => {
    const end = (): void => {
      connection?.openCalls.delete(end);
      reject(aborted());
    };
    connection?.openCalls.add(end);
    signal?.addEventListener('abort', end);
    awaited.finally(() => connection?.openCalls.delete(end)).then(resolve, reject);
  });

const aborted = (): ConnectError => new ConnectError('aborted', Code.Canceled);

function connectionRefused(): ConnectError {
  const cause = Object.assign(new Error('refused'), { code: 'ECONNREFUSED' });
  return new ConnectError('refused', Code.Unavailable, undefined, undefined, cause);
}

const copy = <D extends DescMessage>(schema: D, message: MessageShape<D>): MessageShape<D> =>
  fromBinary(schema, toBinary(schema, message));
