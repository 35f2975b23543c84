import { connect } from 'node:net';
import { describe, expect, it } from 'vitest';
import { listen } from './server.js';

/** What an HTTP/2 client says first. */
const PREFACE = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n');
const EMPTY_SETTINGS = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);

describe('the server between processes', () => {
  it('closes although a peer that it asked to go never does', async () => {
    // Symptom: a planned stop does not end, and the platform kills the process.
    // Sequence: a peer's machine is gone without a word; the server asks its sessions to close, then cuts them.
    // Cause: a session that was asked to close waits for its peer even when it is destroyed.
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
