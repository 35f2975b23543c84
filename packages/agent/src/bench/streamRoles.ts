/** Engine and readers of the stream benchmark. The engine sends chunks at a fixed rate; the readers count them. */
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createClient } from '@connectrpc/connect';
import { Peers, gateMessage } from '@jasmineroute/protocol';

/** Time between two tokens of one stream, milliseconds. */
export const INTERVAL_MS = 68;

/** Incarnation of the target in the benchmark. */
export const INCARNATION = 'engine/1';

/** Groups of streams that write at different times, so that they do not all write in one turn of the event loop. */
const PHASES = 17;

function sendToParent(type: string, value: unknown): void {
  process.send?.({ type, value });
}

/** Runs an engine whose streams never end. */
export async function engineMain(chunkBytes: number): Promise<void> {
  const streams: ServerResponse[] = [];
  const server = createServer((request, response) => {
    request.resume();
    const id = request.headers['x-request-id'] ?? '';
    if (id === '') {
      response.end('{}');
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
    streams.push(response);
  });
  const padding = 'x'.repeat(Math.max(0, chunkBytes - 'data: \n\n'.length));
  let phase = 0;
  setInterval(() => {
    for (let at = phase; at < streams.length; at += PHASES) streams[at]?.write(`data: ${padding}\n\n`);
    phase = (phase + 1) % PHASES;
  }, INTERVAL_MS / PHASES);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  sendToParent('ready', `http://127.0.0.1:${(server.address() as AddressInfo).port}`);
}

/** Streams that are opened concurrently. */
const BATCH = 20;

/** Runs readers over one connection, as an entry does. */
export async function readerMain(address: string, streams: number): Promise<void> {
  const client = createClient(gateMessage.Gate, new Peers().transport(address));
  let chunks = 0;
  process.on('message', () => {
    sendToParent('count', chunks);
  });
  const read = async (index: number, opened: () => void): Promise<void> => {
    for await (const { event } of client.run(runRequest(index))) {
      if (event.case === 'chunk') chunks++;
      if (event.case === 'head') opened();
    }
  };
  const open = (index: number): Promise<void> =>
    new Promise((resolve, reject) => {
      read(index, resolve).catch(reject);
    });
  for (let first = 0; first < streams; first += BATCH) {
    const size = Math.min(BATCH, streams - first);
    await Promise.all(Array.from({ length: size }, (_, offset) => open(first + offset)));
  }
  sendToParent('ready', undefined);
}

function runRequest(index: number) {
  return {
    requestId: `r-${index}`,
    attemptId: `a-${index}`,
    service: 's',
    customer: 'c',
    model: 'm',
    method: 'POST',
    path: '/v1/completions',
    body: Buffer.from('{"model":"m","prompt":"p","stream":true}'),
    deadlineMs: 600_000,
    idempotent: true,
    incarnation: INCARNATION,
  };
}
