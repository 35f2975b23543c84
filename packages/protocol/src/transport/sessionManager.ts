/** HTTP/2 sessions whose late errors end nothing but themselves. */
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import { Code, ConnectError } from '@connectrpc/connect';
import { Http2SessionManager } from '@connectrpc/connect-node';

/** A connection of the library that is being made. */
interface Connecting {
  readonly t: 'connecting';
  readonly conn: Promise<ClientHttp2Session>;
  abort(reason: ConnectError): void;
}

/** One that can be used. */
interface Ready {
  readonly t: 'ready';
  readonly conn: ClientHttp2Session;
}

type State = Connecting | Ready | { readonly t: 'closed' | 'error' };

/** What the library's manager keeps to itself. */
interface States {
  readonly s: State;
  setState(state: State): void;
}

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
  constructor(...options: ConstructorParameters<typeof Http2SessionManager>) {
    super(...options);
    connectOnce(this as unknown as States);
  }

  override async request(
    ...[method, path, headers, options]: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(method, path, headers, options);
    guard(stream.session as ClientHttp2Session | undefined);
    return stream;
  }
}

/**
 * Keeps the connection that is being made when the library makes another one. It does so when a connection breaks while it is
 * checked and is asked for again at that moment; the one that it forgets has no listener any more, and its failure would end
 * the process.
 */
function connectOnce(manager: States): void {
  const setState = manager.setState.bind(manager);
  manager.setState = (state) => {
    if (state.t === 'ready') guard(state.conn);
    if (manager.s.t !== 'connecting' || state.t !== 'connecting') {
      setState(state);
      return;
    }
    // Nobody waits for it.
    state.conn.catch(() => undefined);
    state.abort(new ConnectError('another connection is being made', Code.Canceled));
  };
}

function guard(session: ClientHttp2Session | undefined): void {
  if (session === undefined || guarded.has(session)) return;
  guarded.add(session);
  session.on('error', () => undefined);
}
