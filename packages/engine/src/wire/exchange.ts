/** One request and its answer over undici, with backpressure, a bound on silence and no hidden resend. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Stall, StallWatch } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { fieldsOf, isFramed } from './answer.js';
import type { RawHeaders, WireAnswer, WireRequest } from './answer.js';
import { FaultError, broken } from './failure.js';

/** Bytes that wait for the reader before the target is paused, and below which it goes on. */
const HIGH_WATER = 64 * 1024;
const LOW_WATER = 16 * 1024;

/** Keeps a request unwritten, and its connection open, while the process has not read all that came in a stall. */
class HeldBackError extends Error {}

/**
 * The state of one exchange. It is the handler that undici calls, and the body that the caller reads.
 * Aborting destroys the connection: an answer that comes late can then never be taken for the next one's.
 */
class Exchange
  implements Dispatcher.DispatchHandler, AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array, undefined>
{
  private controller?: Dispatcher.DispatchController;
  private readonly queue: Uint8Array[] = [];
  private queued = 0;
  private ended = false;
  private failed?: Error;
  private wake?: () => void;
  private lastByte: number;
  private stopTimer?: () => void;
  private headSeen = false;
  private sent = false;
  /** The last stall after which it was looked whether the request is still wanted. */
  private seenStall: Stall | undefined;
  readonly head: Promise<Result<WireAnswer, Fault>>;
  private settleHead: (result: Result<WireAnswer, Fault>) => void = () => undefined;

  constructor(
    private readonly request: WireRequest,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
    private readonly dispatch: (handler: Exchange) => void,
    private readonly stalls: StallWatch | undefined,
  ) {
    this.lastByte = clock.monotonic();
    this.seenStall = stalls?.current();
    this.head = new Promise((resolve) => {
      this.settleHead = resolve;
    });
    signal.addEventListener('abort', this.onAbort, { once: true });
    if (request.headSilenceMs !== undefined) this.watchSilence(request.headSilenceMs);
  }

  /** Gives the request to the pool. Whatever fails before its first byte leaves it unsent. */
  start(): void {
    try {
      this.dispatch(this);
    } catch (error) {
      this.fail(error instanceof Error ? error : new Error(String(error)));
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.failed !== undefined) {
      controller.abort(this.failed);
      return;
    }
    // undici must never send a request a second time on its own: a run could then happen twice unnoticed.
    if (this.sent) {
      controller.abort(new Error('a second sending was stopped'));
      return;
    }
    // What is thrown leaves the request unwritten and its connection open; an abort would close that.
    if (this.isUnsure()) throw new HeldBackError('not all is read that came in a stall');
    this.sent = true;
    this.controller = controller;
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: RawHeaders): void {
    if (status < 200) return;
    this.headSeen = true;
    this.touch();
    this.stopTimer?.();
    this.stopTimer = undefined;
    if (this.request.bodySilenceMs !== undefined) this.watchSilence(this.request.bodySilenceMs);
    this.settleHead(
      ok({
        status,
        headers: fieldsOf(headers),
        body: this,
        framed: isFramed(this.request.method, status, headers),
        abandon: () => {
          this.fail(new Error('given up'));
        },
      }),
    );
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.touch();
    this.queue.push(chunk);
    this.queued += chunk.length;
    if (this.queued > HIGH_WATER) controller.pause();
    this.wake?.();
  }

  onResponseEnd(): void {
    this.ended = true;
    this.finish();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (error instanceof HeldBackError) {
      void this.startCaughtUp();
      return;
    }
    this.failed ??= error;
    this.finish();
    this.settleHead(err(this.headFault(this.failed)));
  }

  /** Ends the exchange with an error and destroys its connection. */
  fail(error: Error): void {
    if (this.ended || this.failed !== undefined) return;
    this.failed = error;
    this.controller?.abort(error);
    this.finish();
    this.settleHead(err(this.headFault(error)));
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array, undefined> {
    return this;
  }

  /** The next bytes. Written out, and not as a generator: this is the path of every token. */
  next(): Promise<IteratorResult<Uint8Array, undefined>> {
    const chunk = this.take();
    if (chunk !== undefined) return Promise.resolve({ done: false, value: chunk });
    if (this.failed !== undefined) return Promise.reject(new FaultError(broken(this.failed)));
    if (this.ended) return Promise.resolve({ done: true, value: undefined });
    return new Promise<void>((resolve) => {
      this.wake = resolve;
    }).then(() => this.next());
  }

  return(): Promise<IteratorResult<Uint8Array, undefined>> {
    this.fail(new Error('the reader stopped'));
    return Promise.resolve({ done: true, value: undefined });
  }

  /** Whether the process stood still since the request was made, and may not have read yet that it is not wanted any more. */
  private isUnsure(): boolean {
    const stall = this.stalls?.current();
    const isNew = stall !== undefined && stall !== this.seenStall;
    this.seenStall = stall;
    return isNew;
  }

  /** Starts again once the signal has had the time to tell that nobody waits for an answer any more. */
  private async startCaughtUp(): Promise<void> {
    await this.stalls?.caughtUp();
    if (this.failed === undefined) this.start();
  }

  private take(): Uint8Array | undefined {
    const [first] = this.queue;
    if (first === undefined) return undefined;
    const chunk = this.queue.length === 1 ? first : Buffer.concat(this.queue);
    this.queue.length = 0;
    this.queued = 0;
    this.resume();
    return chunk;
  }

  private resume(): void {
    if (this.controller?.paused !== true || this.queued > LOW_WATER) return;
    // The pause was ours, so its silence is not the target's.
    this.touch();
    this.controller.resume();
  }

  private touch(): void {
    this.lastByte = this.clock.monotonic();
  }

  /**
   * One timer for many bytes: it looks at the time of the last one and goes back to sleep. Prevents an
   * answer from hanging for good on a connection that something between the ends has lost track of.
   */
  private watchSilence(bound: number): void {
    const rest = this.lastByte + bound - this.clock.monotonic();
    if (rest <= 0 && this.controller?.paused !== true) {
      const message = `no byte for ${bound} ms`;
      this.fail(new FaultError(fault('stream-broken', message, { ran: this.ranSoFar() })));
      return;
    }
    this.stopTimer = this.clock.after(rest <= 0 ? bound : rest, () => {
      this.watchSilence(bound);
    });
  }

  private finish(): void {
    this.stopTimer?.();
    this.stopTimer = undefined;
    this.signal.removeEventListener('abort', this.onAbort);
    this.wake?.();
  }

  private ranSoFar(): 'not-run' | 'may-have-run' {
    return this.sent ? 'may-have-run' : 'not-run';
  }

  /** Not run is said only of a request that undici never began to write. */
  private headFault(error: Error): Fault {
    const ran = this.ranSoFar();
    if (error instanceof FaultError) return { ...error.fault, ran };
    if (this.signal.aborted) return fault('cancelled', 'given up by the caller', { ran, cause: error });
    if (!this.sent) return fault('target-unreachable', `no connection: ${error.message}`, { cause: error });
    const when = this.headSeen ? 'inside the answer' : 'before the answer';
    return fault('target-lost', `connection lost ${when}: ${error.message}`, { cause: error });
  }

  private readonly onAbort = (): void => {
    const { reason } = this.signal as { reason: unknown };
    this.fail(reason instanceof Error ? reason : new Error('aborted'));
  };
}

/**
 * Sends a request, where `stalls` is given not before all is read that came while the process stood still. The answer's body
 * must be read to its end or abandoned.
 */
export async function exchange(
  pool: Dispatcher,
  request: WireRequest,
  clock: Clock,
  signal: AbortSignal,
  stalls?: StallWatch,
): Promise<Result<WireAnswer, Fault>> {
  if (signal.aborted) return err(fault('cancelled', 'given up before it was sent'));
  const { method, path, headers, body } = request;
  const options = {
    method,
    path,
    headers: { ...headers },
    body: body === undefined || body.length === 0 ? null : body,
  };
  const dispatch = (handler: Exchange): void => void pool.dispatch(options, handler);
  const handler = new Exchange(request, clock, signal, dispatch, stalls);
  handler.start();
  return handler.head;
}
