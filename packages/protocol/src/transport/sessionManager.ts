/** HTTP/2 sessions whose late errors do not end the process. */
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import { Code, ConnectError } from '@connectrpc/connect';
import { Http2SessionManager } from '@connectrpc/connect-node';

/** State of the library's manager while a connection is being established. */
interface ConnectingState {
  readonly t: 'connecting';
  readonly conn: Promise<ClientHttp2Session>;
  abort(reason: ConnectError): void;
}

/** State with an established connection. */
interface ReadyState {
  readonly t: 'ready';
  readonly conn: ClientHttp2Session;
}

type State = ConnectingState | ReadyState | { readonly t: 'closed' | 'error' };

/** Internal state of the library's manager. */
interface ManagerInternals {
  readonly s: State;
  setState(state: State): void;
}

const guardedSessions = new WeakSet<ClientHttp2Session>();

/**
 * A session manager that handles errors of sessions it has released.
 *
 * When the server sends GOAWAY while no stream is open, the library destroys the session with an error, which the session
 * emits some steps later. If the manager is aborted in between, it removes its listeners, and Node ends the process for
 * the unhandled error ("Uncaught ConnectError: received GOAWAY without any open streams"). A listener that stays for the
 * lifetime of each session prevents that.
 */
export class SessionManager extends Http2SessionManager {
  constructor(...options: ConstructorParameters<typeof Http2SessionManager>) {
    super(...options);
    keepFirstConnection(this as unknown as ManagerInternals);
  }

  override async request(
    ...[method, path, headers, options]: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(method, path, headers, options);
    ignoreErrors(stream.session as ClientHttp2Session | undefined);
    return stream;
  }
}

/**
 * Keeps the connection that is being established when the library starts a second one, and aborts the second. The library does
 * so when a connection breaks during a ping and is requested again at that moment. It would drop the first one without a
 * listener, and its failure would end the process.
 */
function keepFirstConnection(manager: ManagerInternals): void {
  const setState = manager.setState.bind(manager);
  manager.setState = (state) => {
    if (state.t === 'ready') ignoreErrors(state.conn);
    if (manager.s.t !== 'connecting' || state.t !== 'connecting') {
      setState(state);
      return;
    }
    // The aborted connection has no other listener.
    state.conn.catch(() => undefined);
    state.abort(new ConnectError('another connection is being made', Code.Canceled));
  };
}

function ignoreErrors(session: ClientHttp2Session | undefined): void {
  if (session === undefined || guardedSessions.has(session)) return;
  guardedSessions.add(session);
  session.on('error', () => undefined);
}
