/** Buffer of the events of one run, numbered by ordinal, in bounded memory. */
import type { Clock } from '@jasmineroute/core';
import type { gateMessage } from '@jasmineroute/protocol';

/** One event without its ordinal. */
export type EventBody = Exclude<gateMessage.RunEvent['event'], { case: undefined | 'heartbeat' }>;

/** Limits of a buffer, in bytes of chunks unless stated otherwise. */
export interface BufferBounds {
  /** Bytes that no reader has acknowledged; at this limit reading from the target is paused. */
  readonly unread: number;
  /**
   * Acknowledged bytes that are kept for a resume. They may still be lost in a connection: at most the flow-control
   * window of HTTP/2, 64 KiB by default.
   */
  readonly behind: number;
  /** How long acknowledged events are kept, milliseconds; a run that is not resumed by then has been cancelled. */
  readonly behindMs: number;
}

/** The acknowledged ordinal at a point in time. */
interface ProgressMark {
  readonly at: number;
  readonly ordinal: number;
}

/** Shortest time between two marks. */
const MARK_INTERVAL_MS = 1_000;

interface Entry {
  event: EventBody;
  /** Bytes of all chunks up to and with this one. */
  total: number;
}

/** Unread chunks are joined up to this size, so that a backlog is sent in fewer messages. */
const JOIN_BYTES = 16 * 1024;

/** Fewest events that are dropped at once. */
const TRIM_BATCH = 64;

const finalCases: ReadonlySet<string> = new Set(['end', 'refusal', 'failure']);

/**
 * A window over the events of a run. Each reader has its own position; the most advanced one determines which events
 * may be dropped and when the target is paused, so that a slow or dead second reader does not block the run.
 */
export class EventBuffer {
  private entries: Entry[] = [];
  private first = 0;
  private total = 0;
  private acknowledged = 0;
  private acknowledgedTotal = 0;
  private done = false;
  /** Ordinal after the last event that any reader has read. */
  private nextUnread = 0;
  private readonly listeners = new Set<() => void>();
  private roomWaiter?: () => void;

  private readonly marks: ProgressMark[] = [];
  private expiredBefore = 0;

  constructor(
    private readonly bounds: BufferBounds,
    private readonly clock: Clock,
  ) {}

  /** Ordinal of the oldest event in the buffer. */
  get start(): number {
    return this.first;
  }

  /** Ordinal of the next event. */
  get end(): number {
    return this.first + this.entries.length;
  }

  /** Whether the final event was appended. */
  get isClosed(): boolean {
    return this.done;
  }

  /** Whether a reader has acknowledged the final event. */
  get isDelivered(): boolean {
    return this.done && this.acknowledged >= this.end;
  }

  /** Appends an event; ignored after the final event. */
  append(event: EventBody): void {
    if (this.done) return;
    if (event.case === 'chunk') this.total += event.value.length;
    if (!this.join(event)) this.entries.push({ event, total: this.total });
    this.done = finalCases.has(event.case);
    for (const wake of this.listeners) wake();
  }

  /** Reads the event of an ordinal, which does not change afterwards; undefined when it is not in the buffer. */
  read(ordinal: number): EventBody | undefined {
    const event = this.entries[ordinal - this.first]?.event;
    if (event !== undefined && ordinal >= this.nextUnread) this.nextUnread = ordinal + 1;
    return event;
  }

  /** Records that a reader has received all events before `ordinal`. */
  acknowledge(ordinal: number): void {
    if (ordinal <= this.acknowledged) return;
    this.acknowledged = ordinal;
    this.addMark();
    this.acknowledgedTotal = this.entries[ordinal - 1 - this.first]?.total ?? this.total;
    this.trim();
    if (this.hasRoom()) this.wakeWriter();
  }

  /** Whether the unacknowledged bytes are below the limit. */
  hasRoom(): boolean {
    return this.total - this.acknowledgedTotal < this.bounds.unread;
  }

  /** Resolves when there is room or the signal aborts. */
  whenRoom(signal: AbortSignal): Promise<void> {
    if (this.hasRoom() || signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = (): void => {
        signal.removeEventListener('abort', wake);
        this.roomWaiter = undefined;
        resolve();
      };
      this.roomWaiter = wake;
      signal.addEventListener('abort', wake, { once: true });
    });
  }

  /** Calls `wake` after every event. @returns a function that unsubscribes. */
  onEvent(wake: () => void): () => void {
    this.listeners.add(wake);
    return () => {
      this.listeners.delete(wake);
    };
  }

  /** Drops all events and closes the buffer; later reads of them fail. */
  clear(): void {
    this.first = this.end;
    this.entries = [];
    this.done = true;
    for (const wake of this.listeners) wake();
  }

  private join(event: EventBody): boolean {
    const last = this.entries.at(-1);
    if (event.case !== 'chunk' || last?.event.case !== 'chunk' || this.nextUnread >= this.end) return false;
    if (last.event.value.length + event.value.length > JOIN_BYTES) return false;
    last.event = { case: 'chunk', value: Buffer.concat([last.event.value, event.value]) };
    last.total = this.total;
    return true;
  }

  private wakeWriter(): void {
    this.roomWaiter?.();
  }

  private addMark(): void {
    const at = this.clock.monotonic();
    const last = this.marks.at(-1);
    if (last === undefined || at - last.at >= MARK_INTERVAL_MS)
      this.marks.push({ at, ordinal: this.acknowledged });
  }

  /** Advances `expiredBefore` past events that were acknowledged longer than `behindMs` ago. */
  private advanceExpired(): void {
    const limit = this.clock.monotonic() - this.bounds.behindMs;
    for (let oldest = this.marks[0]; oldest !== undefined && oldest.at <= limit; oldest = this.marks[0]) {
      this.expiredBefore = oldest.ordinal;
      this.marks.shift();
    }
  }

  private trim(): void {
    this.advanceExpired();
    let drop = Math.max(0, this.expiredBefore - this.first);
    const limit = this.acknowledgedTotal - this.bounds.behind;
    const reach = this.acknowledged - this.first;
    while (drop < reach && (this.entries[drop]?.total ?? 0) <= limit) drop++;
    // Dropped in batches, as removing events from the front of an array costs its whole length each time.
    if (drop < TRIM_BATCH) return;
    this.entries.splice(0, drop);
    this.first += drop;
  }
}
