import http2 from 'node:http2';
import type { AddressInfo } from 'node:net';
import { create, toBinary } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { afterEach, describe, expect, it } from 'vitest';
import { TakeResponseSchema, Turns } from '../gen/jasmineroute/control_pb.js';
import { Peers } from './peers.js';

const whole = toBinary(TakeResponseSchema, create(TakeResponseSchema, { granted: true, fence: 7n }));

/** Ways in which a response ends before it is complete. */
const ends: Record<string, (stream: http2.ServerHttp2Stream) => void> = {
  ended: (stream) => stream.end(),
  cancelled: (stream) => {
    stream.close(http2.constants.NGHTTP2_CANCEL);
  },
  'closed without an error': (stream) => {
    stream.close(http2.constants.NGHTTP2_NO_ERROR);
  },
  'cut with its connection': (stream) => stream.session?.destroy(),
};

describe('a truncated response', () => {
  let server: http2.Http2Server;
  const peers = new Peers();

  afterEach(() => {
    peers.close();
    server.close();
  });

  async function answer(bytes: Uint8Array, length: object, end = 'ended') {
    server = http2.createServer();
    server.on('stream', (stream) => {
      stream.on('error', () => undefined);
      stream.respond({ ':status': 200, 'content-type': 'application/proto', ...length });
      if (bytes.length > 0) stream.write(bytes);
      setImmediate(() => ends[end]?.(stream));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return createClient(Turns, peers.transport(address)).take({}, { timeoutMs: 5_000 });
  }

  const cases = Object.keys(ends).flatMap((end) => [0, 2].map((bytes) => ({ end, bytes })));

  // Guards against accepting part of a response as a complete one.
  it.each(cases)('is rejected when it is $end after $bytes bytes', async ({ end, bytes }) => {
    const part = whole.subarray(0, bytes);
    await expect(answer(part, { 'content-length': whole.length }, end)).rejects.toThrow();
    peers.close();
    server.close();
    await expect(answer(part, {}, end)).rejects.toThrow();
  });

  it('is accepted when it is complete', async () => {
    expect(await answer(whole, { 'content-length': whole.length })).toMatchObject({ fence: 7n });
  });
});
