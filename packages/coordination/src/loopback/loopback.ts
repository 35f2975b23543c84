/** A server and connections on the loopback interface, for the example and the benchmark. */
import http2 from 'node:http2';
import type { AddressInfo } from 'node:net';
import { Http2SessionManager, connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node';
import type { ConnectRouter, Transport } from '@connectrpc/connect';

/** A listening server. */
export interface LoopbackServer {
  /** host:port it listens on. */
  readonly address: string;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}

/** Listens on a port of 127.0.0.1; 0: any free port. */
export async function listenOnLoopback(
  routes: (router: ConnectRouter) => void,
  port = 0,
): Promise<LoopbackServer> {
  const server = http2.createServer(connectNodeAdapter({ routes }));
  const sessions = new Set<http2.ServerHttp2Session>();
  server.on('session', (session: http2.ServerHttp2Session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${bound.port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const session of sessions) session.destroy();
      }),
  };
}

/** Client connections, one HTTP/2 connection per address. */
export class LoopbackConnections {
  private readonly known = new Map<string, { transport: Transport; session: Http2SessionManager }>();

  /** The transport to host:port. */
  connect = (address: string): Transport => {
    const known = this.known.get(address);
    if (known !== undefined) return known.transport;
    const baseUrl = `http://${address}`;
    const session = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager: session });
    this.known.set(address, { transport, session });
    return transport;
  };

  /** Closes the connection to host:port. */
  drop = (address: string): void => {
    this.known.get(address)?.session.abort();
    this.known.delete(address);
  };

  /** Closes all connections. */
  close(): void {
    for (const address of [...this.known.keys()]) this.drop(address);
  }
}
