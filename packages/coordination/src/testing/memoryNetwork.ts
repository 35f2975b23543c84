/** A network in memory that loses, delays and reorders calls, and lets connections go silent. For tests. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter, Transport, UnaryResponse } from '@connectrpc/connect';
import type { Clock } from '@jasmineroute/core';
import type { ProcessClock } from './processClock.js';

type Handler = (request: unknown) => Promise<unknown>;
type Handlers = Record<string, Handler>;

/** A request on its way, or the answer to it. */
export interface Message {
  readonly from: string;
  readonly to: string;
  readonly method: string;
  readonly isAnswer: boolean;
  readonly content: unknown;
}

/** A message that does not arrive before it is released. */
interface HeldMessage {
  readonly message: Message;
  readonly release: () => void;
}

/** One connection; `silent` ones carry nothing and never fail. */
interface Connection {
  readonly transport: Transport;
  /** Ends the calls that are open on it. */
  readonly open: Set<() => void>;
  /** Messages on their way. */
  carrying: number;
  isDropped: boolean;
  silent: boolean;
}

const linkOf = (from: string, to: string): string => `${from}>${to}`;

/** Replicas by address, and the links between them. */
export class MemoryNetwork {
  /** Share of messages that are lost. */
  loss = 0;
  /** Longest delay one way, in milliseconds; each message has its own. */
  maxDelayMs = 10;
  /** Bytes that a connection carries in a millisecond; the messages on it share them. */
  bytesPerMs = Infinity;
  /** Messages that arrive only once they are released. */
  isHeld: (message: Message) => boolean = () => false;
  private held: HeldMessage[] = [];
  private readonly clocks = new Map<string, ProcessClock>();
  private readonly servers = new Map<string, Handlers>();
  private readonly connections = new Map<string, Connection>();
  private readonly cuts = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Serves what `routes` registers at an address; a process takes messages only while its clock runs. */
  serve(address: string, routes: (router: ConnectRouter) => void, clock?: ProcessClock): void {
    const handlers: Handlers = {};
    const service = (_: unknown, implementation: Handlers): void => {
      Object.assign(handlers, implementation);
    };
    routes({ service } as unknown as ConnectRouter);
    this.servers.set(address, handlers);
    if (clock !== undefined) this.clocks.set(address, clock);
  }

  /** Nobody listens at the address any more. */
  unserve(address: string): void {
    this.servers.delete(address);
    this.clocks.delete(address);
  }

  connect(from: string, to: string): Transport {
    const link = linkOf(from, to);
    const known = this.connections.get(link);
    if (known !== undefined) return known.transport;
    const connection: Connection = {
      transport: this.transport(from, to),
      open: new Set(),
      carrying: 0,
      isDropped: false,
      silent: false,
    };
    this.connections.set(link, connection);
    return connection.transport;
  }

  drop(from: string, to: string): void {
    const connection = this.connections.get(linkOf(from, to));
    if (connection === undefined) return;
    connection.isDropped = true;
    this.connections.delete(linkOf(from, to));
    for (const end of connection.open) end();
  }

  /** The connections there are between two replicas go silent; new ones work. */
  silence(a: string, b: string): void {
    for (const link of [linkOf(a, b), linkOf(b, a)]) {
      const connection = this.connections.get(link);
      if (connection !== undefined) connection.silent = true;
    }
  }

  /** Nothing passes between two replicas. */
  cut(a: string, b: string): void {
    this.cuts.add(linkOf(a, b)).add(linkOf(b, a));
  }

  /** Nothing passes from one replica to another; the way back works. */
  cutOneWay(from: string, to: string): void {
    this.cuts.add(linkOf(from, to));
  }

  /** All links work again. */
  heal(): void {
    this.cuts.clear();
  }

  /** Lets messages arrive that were held, and returns them. */
  release(isReleased: (message: Message) => boolean = () => true): Message[] {
    const released = this.held.filter(({ message }) => isReleased(message));
    this.held = this.held.filter((held) => !released.includes(held));
    for (const { release } of released) release();
    return released.map(({ message }) => message);
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
      const asked = { from, to, method: method.localName, isAnswer: false, content: request };
      if (this.bytesPerMs < Infinity)
        await this.transfer(toBinary(method.input, request).length, connection, signal);
      await this.carry(asked, connection, signal);
      const handler = this.servers.get(to)?.[method.localName];
      if (handler === undefined) throw refused();
      const message = copy(method.output, (await handler(request)) as MessageShape<O>);
      const answered = { from: to, to: from, method: method.localName, isAnswer: true, content: message };
      await this.carry(answered, connection, signal);
      const headers = { header: new Headers(), trailer: new Headers() };
      return { stream: false, service: method.parent, method, message, ...headers };
    };
    return { unary, stream: () => Promise.reject(new Error('not used')) };
  }

  /** Resolves when the bytes of a request have left, unless it is given up. */
  private async transfer(
    bytes: number,
    connection: Connection | undefined,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    if (connection === undefined) return;
    const isGivenUp = (): boolean => signal?.aborted === true || connection.isDropped;
    connection.carrying += 1;
    for (let left = bytes; left > 0 && !isGivenUp(); left -= this.bytesPerMs / connection.carrying)
      await this.clock.sleep(1);
    connection.carrying -= 1;
  }

  /** Resolves when the message arrives; a lost one ends with the caller's patience. */
  private async carry(
    message: Message,
    connection: Connection | undefined,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const { from, to } = message;
    const isLost = connection?.silent === true || this.random() < this.loss;
    if (!isLost) await this.clock.sleep(this.random() * this.maxDelayMs);
    if (signal?.aborted === true || connection?.isDropped === true) throw aborted();
    if (isLost || this.cuts.has(linkOf(from, to))) await unlessEnded(never(), connection, signal);
    if (this.isHeld(message)) await unlessEnded(this.released(message), connection, signal);
    const clock = this.clocks.get(to);
    if (clock?.isStalled === true) await unlessEnded(clock.turn(), connection, signal);
  }

  private released(message: Message): Promise<void> {
    return new Promise((release) => {
      this.held.push({ message, release });
    });
  }
}

const never = (): Promise<void> => new Promise(() => undefined);

/** Waits for an arrival; rejects when the call or its connection ends before. */
const unlessEnded = (
  arrival: Promise<void>,
  connection: Connection | undefined,
  signal: AbortSignal | undefined,
): Promise<void> =>
  new Promise((resolve, reject) => {
    const end = (): void => {
      connection?.open.delete(end);
      reject(aborted());
    };
    connection?.open.add(end);
    signal?.addEventListener('abort', end);
    void arrival.then(() => {
      connection?.open.delete(end);
      resolve();
    });
  });

const aborted = (): ConnectError => new ConnectError('aborted', Code.Canceled);

function refused(): ConnectError {
  const cause = Object.assign(new Error('refused'), { code: 'ECONNREFUSED' });
  return new ConnectError('refused', Code.Unavailable, undefined, undefined, cause);
}

const copy = <D extends DescMessage>(schema: D, message: MessageShape<D>): MessageShape<D> =>
  fromBinary(schema, toBinary(schema, message));
