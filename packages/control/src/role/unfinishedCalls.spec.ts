import http2 from 'node:http2';
import { setTimeout as sleep } from 'node:timers/promises';
import { ScalarType, fromJson, toBinary, toJson } from '@bufbuild/protobuf';
import type {
  DescField,
  DescMessage,
  DescMethodUnary,
  DescService,
  JsonObject,
  JsonValue,
  Message,
} from '@bufbuild/protobuf';
import type { ConnectRouter, ServiceImpl } from '@connectrpc/connect';
import { routesWithoutDisk } from '@jasmineroute/coordination';
import { Peers, controlMessage, gateMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import fc from 'fast-check';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

/** The service between replicas, as the coordination library registers it. */
function agreementService(): DescService {
  const added: DescService[] = [];
  const router = { service: (service: DescService) => added.push(service) };
  routesWithoutDisk(router as unknown as ConnectRouter, 'a', () => 'a:1');
  const [service] = added;
  if (service === undefined) throw new Error('no service was added');
  return service;
}

const { Claims, Configurations, Directory, Documents, Gossip, Turns } = controlMessage;
const { Gate } = gateMessage;
const services = [Claims, Configurations, Directory, Documents, Gossip, Turns, Gate, agreementService()];

const unaryOf = (service: DescService): DescMethodUnary[] =>
  service.methods.filter((method): method is DescMethodUnary => method.methodKind === 'unary');

const methods = services.flatMap(unaryOf);

function scalarSample(type: ScalarType): JsonValue {
  if (type === ScalarType.BOOL) return true;
  return type === ScalarType.BYTES ? 'BwcH' : '7';
}

function sampleOf(field: DescField): JsonValue {
  if (field.message !== undefined) return filledJson(field.message);
  return field.scalar === undefined ? 1 : scalarSample(field.scalar);
}

/** A message with every field set, and one of each choice. */
function filledJson(message: DescMessage): JsonObject {
  const fields = message.fields.filter(({ oneof }) => oneof === undefined);
  const chosen = message.oneofs.flatMap((oneof) => oneof.fields.slice(0, 1));
  const samples = [...fields, ...chosen].map((field): [string, JsonValue] => {
    const sample = sampleOf(field);
    return [field.jsonName, field.fieldKind === 'list' ? [sample, sample] : sample];
  });
  return Object.fromEntries(samples);
}

const filled = (method: DescMethodUnary): Message => fromJson(method.input, filledJson(method.input));

const textOf = (method: DescMethodUnary, message: Message): string =>
  `${method.name} ${JSON.stringify(toJson(method.input, message))}`;

/** Ways in which a call ends before its message is complete. */
const ends = {
  /** Like the client of the runtime: the end of the request is sent before the reset. */
  cancelled: (stream: http2.ClientHttp2Stream) => {
    stream.close(http2.constants.NGHTTP2_CANCEL);
  },
  reset: (stream: http2.ClientHttp2Stream) => stream.destroy(new Error('reset')),
  cut: (stream: http2.ClientHttp2Stream) => stream.session?.destroy(),
  ended: (stream: http2.ClientHttp2Stream) => stream.end(),
};

interface Unfinished {
  readonly method: DescMethodUnary;
  /** How much of the message is sent, 0 to 1. */
  readonly part: number;
  readonly end: keyof typeof ends;
  readonly hasLength: boolean;
  readonly hasPause: boolean;
}

const unfinishedCall: fc.Arbitrary<Unfinished> = fc.record({
  method: fc.constantFrom(...methods),
  part: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }),
  end: fc.constantFrom<keyof typeof ends>('cancelled', 'reset', 'cut', 'ended'),
  hasLength: fc.boolean(),
  hasPause: fc.boolean(),
});

describe('a unary call between processes that its caller does not finish', () => {
  let server: RpcServer;
  const handled: string[] = [];

  const handlersOf = (service: DescService): ServiceImpl<DescService> => {
    const handlers = unaryOf(service).map((method): [string, unknown] => [
      method.localName,
      (message: Message) => {
        handled.push(textOf(method, message));
        return {};
      },
    ]);
    return Object.fromEntries(handlers) as ServiceImpl<DescService>;
  };

  beforeAll(async () => {
    server = await listen('127.0.0.1', 0, (router) => {
      for (const service of services) router.service(service, handlersOf(service));
    });
  });

  beforeEach(() => {
    handled.length = 0;
  });

  afterAll(() => server.close());

  /** Waits until the server has read all earlier calls, shown by the answer to a later one. */
  async function settle(peers: Peers): Promise<void> {
    await sleep(20);
    const method: DescMethodUnary = Turns.method.release;
    const call = filled(method);
    await peers.transport(server.address).unary(method, undefined, 5_000, undefined, call);
    handled.splice(handled.lastIndexOf(textOf(method, call)), 1);
  }

  async function cancelSoon(method: DescMethodUnary, afterMs: number): Promise<void> {
    const peers = new Peers();
    const caller = new AbortController();
    const transport = peers.transport(server.address);
    const call = transport.unary(method, caller.signal, undefined, undefined, filled(method));
    // The server may refuse it before it is cancelled.
    const ended = call.catch(() => undefined);
    if (afterMs > 0) await sleep(afterMs);
    caller.abort();
    await ended;
    await settle(peers);
    peers.close();
  }

  async function leaveUnfinished({ method, part, end, hasLength, hasPause }: Unfinished): Promise<void> {
    const whole = toBinary(method.input, filled(method));
    const session = http2.connect(`http://${server.address}`);
    session.on('error', () => undefined);
    const length = hasLength ? { 'content-length': whole.length } : {};
    const stream = session.request({
      ':method': 'POST',
      ':path': `/${method.parent.typeName}/${method.name}`,
      'content-type': 'application/proto',
      ...length,
    });
    stream.on('error', () => undefined);
    stream.resume();
    const sent = whole.subarray(0, Math.floor(part * whole.length));
    if (sent.length > 0) stream.write(sent);
    if (hasPause) await sleep(2);
    const closed = new Promise((resolve) => stream.once('close', resolve));
    ends[end](stream);
    await closed;
    session.destroy();
  }

  // Guards against a call that is cancelled while its connection is opened and reaches its handler as an empty message.
  it('is not handled as another message when it is cancelled before it is sent', async () => {
    for (const method of methods) {
      for (const afterMs of [0, 0, 1, 2]) await cancelSoon(method, afterMs);
    }
    const whole = new Set(methods.map((method) => textOf(method, filled(method))));
    expect(handled.filter((text) => !whole.has(text))).toEqual([]);
  });

  // Guards against a partial message, or one without the end of its request, that is handled as a complete one.
  it('is not handled, whichever part of it has arrived and however it ends', async () => {
    const peers = new Peers();
    await fc.assert(
      fc.asyncProperty(unfinishedCall, async (call) => {
        handled.length = 0;
        await leaveUnfinished(call);
        await settle(peers);
        expect(handled).toEqual([]);
      }),
      { numRuns: 300 },
    );
    peers.close();
  });
});
