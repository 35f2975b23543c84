import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';
import { listen } from './server.js';

/** Connection preface of an HTTP/2 client. */
const PREFACE = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n');
const EMPTY_SETTINGS = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);

describe('the RPC server', () => {
  it('closes although a peer never closes its connection', async () => {
    // Guards against a planned stop that does not end until the platform kills the process: a peer's machine is lost, and a
    // session on which `close` was called waits for its peer even when it is destroyed.
    const server = await listen('127.0.0.1', 0, () => undefined);
    const [host, port] = server.address.split(':');
    const peer = connect({ host, port: Number(port), allowHalfOpen: true });
    peer.on('error', () => undefined);
    peer.write(Buffer.concat([PREFACE, EMPTY_SETTINGS]));
    await new Promise((resolve) => peer.once('data', resolve));
    void server.drain();
    await new Promise((resolve) => setImmediate(resolve));
    const closed = server.close().then(() => 'closed');
    const late = new Promise((resolve) => setTimeout(resolve, 5_000, 'still open'));
    expect(await Promise.race([closed, late])).toBe('closed');
    peer.destroy();
  });
});
