/** Targets that write what a test wants to their connections, and a caller of theirs. For tests. */
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { systemClock } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import { Connections, exchange, readWhole } from '../wire/index.js';

const MOST_BYTES = 1_000_000;
const TIMEOUT_MS = 5_000;

/** The head of an answer; each of `fields` ends with a line break. */
export const headOf = (status: string, fields = ''): string => `HTTP/1.1 ${status}\r\n${fields}\r\n`;

/** Targets of one test. */
export class RawTargets {
  private readonly closers: (() => void)[] = [];

  /** Listens for connections. @returns host:port. */
  async serve(onConnection: (socket: Socket) => void): Promise<string> {
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      // Some tests end connections under the target.
      socket.on('error', () => undefined);
      this.closers.push(() => socket.destroy());
      onConnection(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.closers.push(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Sends a request, and reads the body of its answer to the end. */
  async ask(place: string, body: Uint8Array): Promise<Result<string, Fault>> {
    const connections = new Connections(`http://${place}`, 2);
    this.closers.push(() => void connections.close());
    const request = { method: 'POST', path: '/', headers: {}, body };
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const answer = await exchange(connections.pool(), request, systemClock, signal);
    if (answer.isErr()) return answer.map(() => '');
    return (await readWhole(answer.value, MOST_BYTES)).map((bytes) => Buffer.from(bytes).toString());
  }

  close(): void {
    for (const close of this.closers.splice(0)) close();
  }
}
