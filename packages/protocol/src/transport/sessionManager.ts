/** HTTP/2 sessions whose late errors end nothing but themselves. */
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import { Http2SessionManager } from '@connectrpc/connect-node';

const guarded = new WeakSet<ClientHttp2Session>();

/**
 * A session manager that outlives an error of a session it has let go.
 *
 * When the other side says GOAWAY while nothing is open, the library destroys the session with an error, which the
 * session reports some steps later. If the manager is aborted in between, it takes its listeners off, and the error
 * finds none: Node then ends the process ("Uncaught ConnectError: received GOAWAY without any open streams"). One
 * listener that stays for the life of each session prevents that.
 */
export class SessionManager extends Http2SessionManager {
  override async request(
    ...[method, path, headers, options]: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(method, path, headers, options);
    guard(stream.session as ClientHttp2Session | undefined);
    return stream;
  }
}

function guard(session: ClientHttp2Session | undefined): void {
  if (session === undefined || guarded.has(session)) return;
  guarded.add(session);
  session.on('error', () => undefined);
}
