/** One reader of a run's events. */
import { Code, ConnectError } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import type { Cancellation, Clock } from '@jasmineroute/core';
import { gateMessage } from '@jasmineroute/protocol';
import type { EventBuffer } from './buffer.js';

/** Time between two heartbeats on a stream that has nothing to say. */
export const HEARTBEAT_MS = 500;

type Step = IteratorResult<gateMessage.RunEvent, undefined>;

interface Waiting {
  readonly resolve: (step: Step) => void;
  readonly reject: (error: Error) => void;
}

/** What a reader needs. */
export interface ReaderOptions {
  readonly requestId: string;
  readonly buffer: EventBuffer;
  readonly clock: Clock;
  /** Ordinal of the first event wanted. */
  readonly from: number;
  /** The other side has gone. */
  readonly signal: AbortSignal;
  /** Called once, when reading is over. */
  readonly onClose: () => void;
}

const heartbeat: gateMessage.RunEvent['event'] = {
  case: 'heartbeat',
  value: create(gateMessage.HeartbeatSchema),
};
const end: Step = { done: true, value: undefined };
const typeName = gateMessage.RunEventSchema.typeName;

/**
 * Gives out events from an ordinal on, with heartbeats between, until the last one. Ends early, without a last
 * event, when the other side has gone. Written as an iterator and not as a generator, with one timer for many
 * events: this is the path of every token.
 */
export class EventReader implements AsyncIterableIterator<gateMessage.RunEvent, undefined> {
  private place: number;
  private waiting?: Waiting;
  private closed = false;
  private lastSent: number;
  private stopTimer: Cancellation = () => undefined;
  private readonly forget: Cancellation;

  constructor(private readonly options: ReaderOptions) {
    this.place = options.from;
    this.lastSent = options.clock.monotonic();
    this.forget = options.buffer.onEvent(() => {
      this.wake();
    });
    options.signal.addEventListener('abort', this.onAbort, { once: true });
    this.watch(HEARTBEAT_MS);
    if (options.signal.aborted) this.close();
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /** The next event. Asking for it says that the one before has been taken. */
  next(): Promise<Step> {
    this.options.buffer.taken(this.place);
    return new Promise((resolve, reject) => {
      this.waiting = { resolve, reject };
      this.wake();
    });
  }

  return(): Promise<Step> {
    this.close();
    return Promise.resolve(end);
  }

  private wake(): void {
    const { waiting } = this;
    if (waiting === undefined) return;
    const { buffer } = this.options;
    if (this.closed) {
      this.answer(waiting, end);
      return;
    }
    if (this.place < buffer.start) {
      this.waiting = undefined;
      this.close();
      waiting.reject(new ConnectError('the events are not kept any more', Code.OutOfRange));
      return;
    }
    const event = buffer.give(this.place);
    if (event !== undefined) {
      this.lastSent = this.options.clock.monotonic();
      this.answer(waiting, this.stepOf(event));
      this.place++;
      return;
    }
    if (!buffer.closed) return;
    this.close();
    waiting.resolve(end);
  }

  private answer(waiting: Waiting, step: Step): void {
    this.waiting = undefined;
    waiting.resolve(step);
  }

  private stepOf(event: gateMessage.RunEvent['event']): Step {
    const { requestId } = this.options;
    const ordinal = BigInt(this.place);
    return { done: false, value: { $typeName: typeName, requestId, ordinal, event } };
  }

  /** Looks again when the next heartbeat may be due. */
  private watch(ms: number): void {
    const { clock } = this.options;
    this.stopTimer = clock.after(ms, () => {
      const silent = clock.monotonic() - this.lastSent;
      const due = silent >= HEARTBEAT_MS;
      if (due) this.beat();
      this.watch(due ? HEARTBEAT_MS : HEARTBEAT_MS - silent);
    });
  }

  private beat(): void {
    this.lastSent = this.options.clock.monotonic();
    // Nobody waits for a heartbeat while the one before is still on its way out.
    if (this.waiting !== undefined) this.answer(this.waiting, this.stepOf(heartbeat));
  }

  private readonly onAbort = (): void => {
    this.close();
  };

  private close(): void {
    if (this.closed) return;
    this.closed = true;
    this.stopTimer();
    this.forget();
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.options.onClose();
    if (this.waiting !== undefined) this.answer(this.waiting, end);
  }
}
