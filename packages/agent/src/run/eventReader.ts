/** A stream of the events of a run, as read by one entry. */
import { Code, ConnectError } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import type { Cancellation, Clock } from '@jasmineroute/core';
import { gateMessage } from '@jasmineroute/protocol';
import type { EventBuffer } from './eventBuffer.js';

/** Interval of heartbeats on a stream without events. */
export const HEARTBEAT_MS = 500;

type ReadResult = IteratorResult<gateMessage.RunEvent, undefined>;

interface PendingRead {
  readonly resolve: (result: ReadResult) => void;
  readonly reject: (error: Error) => void;
}

/** Options of a reader. */
export interface ReaderOptions {
  readonly requestId: string;
  readonly buffer: EventBuffer;
  readonly clock: Clock;
  /** Ordinal of the first event to read. */
  readonly from: number;
  /** Aborts when the connection to the entry is closed. */
  readonly signal: AbortSignal;
  /** Called once, when the reader closes. */
  readonly onClose: () => void;
}

const heartbeat: gateMessage.RunEvent['event'] = {
  case: 'heartbeat',
  value: create(gateMessage.HeartbeatSchema),
};
const end: ReadResult = { done: true, value: undefined };
const typeName = gateMessage.RunEventSchema.typeName;

/**
 * Yields events from an ordinal on, with heartbeats in between, up to the final event. Ends early, without a final
 * event, when the connection is closed. Every token passes here, so this is an iterator rather than a generator and
 * uses one timer for many events.
 */
export class EventReader implements AsyncIterableIterator<gateMessage.RunEvent, undefined> {
  private nextOrdinal: number;
  private waiting?: PendingRead;
  private isClosed = false;
  private lastSent: number;
  private stopTimer: Cancellation = () => undefined;
  private readonly unsubscribe: Cancellation;

  constructor(private readonly options: ReaderOptions) {
    this.nextOrdinal = options.from;
    this.lastSent = options.clock.monotonic();
    this.unsubscribe = options.buffer.onEvent(() => {
      this.deliver();
    });
    options.signal.addEventListener('abort', this.onAbort, { once: true });
    this.scheduleHeartbeat(HEARTBEAT_MS);
    if (options.signal.aborted) this.close();
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /** Returns the next event and acknowledges the previous one. */
  next(): Promise<ReadResult> {
    this.options.buffer.acknowledge(this.nextOrdinal);
    return new Promise((resolve, reject) => {
      this.waiting = { resolve, reject };
      this.deliver();
    });
  }

  return(): Promise<ReadResult> {
    this.close();
    return Promise.resolve(end);
  }

  private deliver(): void {
    const { waiting } = this;
    if (waiting === undefined) return;
    const { buffer } = this.options;
    if (this.isClosed) {
      this.resolveRead(waiting, end);
      return;
    }
    if (this.nextOrdinal < buffer.start) {
      this.waiting = undefined;
      this.close();
      waiting.reject(new ConnectError('the events of the attempt are no longer kept', Code.OutOfRange));
      return;
    }
    const event = buffer.read(this.nextOrdinal);
    if (event !== undefined) {
      this.lastSent = this.options.clock.monotonic();
      this.resolveRead(waiting, this.resultOf(event));
      this.nextOrdinal++;
      return;
    }
    if (!buffer.isClosed) return;
    this.close();
    waiting.resolve(end);
  }

  private resolveRead(waiting: PendingRead, result: ReadResult): void {
    this.waiting = undefined;
    waiting.resolve(result);
  }

  private resultOf(event: gateMessage.RunEvent['event']): ReadResult {
    const { requestId } = this.options;
    const ordinal = BigInt(this.nextOrdinal);
    return { done: false, value: { $typeName: typeName, requestId, ordinal, event } };
  }

  /** Starts a timer for the time at which the next heartbeat may be due. */
  private scheduleHeartbeat(ms: number): void {
    const { clock } = this.options;
    this.stopTimer = clock.after(ms, () => {
      const silentMs = clock.monotonic() - this.lastSent;
      const isDue = silentMs >= HEARTBEAT_MS;
      if (isDue) this.sendHeartbeat();
      this.scheduleHeartbeat(isDue ? HEARTBEAT_MS : HEARTBEAT_MS - silentMs);
    });
  }

  private sendHeartbeat(): void {
    this.lastSent = this.options.clock.monotonic();
    // Without a pending read, the previous event is still being sent and no heartbeat is needed.
    if (this.waiting !== undefined) this.resolveRead(this.waiting, this.resultOf(heartbeat));
  }

  private readonly onAbort = (): void => {
    this.close();
  };

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.stopTimer();
    this.unsubscribe();
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.options.onClose();
    if (this.waiting !== undefined) this.resolveRead(this.waiting, end);
  }
}
