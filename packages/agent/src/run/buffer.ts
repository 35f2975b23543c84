/** The events of one run, with ordinals, in bounded memory. */
import type { Clock } from '@jasmineroute/core';
import type { gateMessage } from '@jasmineroute/protocol';

/** One event without its ordinal. */
export type EventBody = Exclude<gateMessage.RunEvent['event'], { case: undefined | 'heartbeat' }>;

/** How much a buffer holds, in bytes of chunks. */
export interface BufferBounds {
  /** Not read by anyone yet; when reached, the target is paused. */
  readonly unread: number;
  /**
   * Kept behind the foremost reader. What a reader has taken may still be lost in a connection: at most what
   * HTTP/2 flow control lets out, 64 KiB by default. A resume goes on from within.
   */
  readonly behind: number;
  /** The same in time, milliseconds: whoever resumes does so soon, or the run is cancelled by then. */
  readonly behindMs: number;
}

/** Where the foremost reader was at some time. */
interface Mark {
  readonly at: number;
  readonly ordinal: number;
}

/** Time between two marks. */
const MARK_MS = 1_000;

interface Entry {
  event: EventBody;
  /** Bytes of all chunks up to and with this one. */
  total: number;
}

/** Chunks are joined up to this size while no reader has had them: a backlog goes out in fewer messages. */
const JOIN_BYTES = 16 * 1024;

/** How many events are dropped at once. */
const TRIM_BATCH = 64;

const lastCases: ReadonlySet<string> = new Set(['end', 'refusal', 'failure']);

/**
 * A window over a run's events. Readers have their own places; the foremost decides what may be dropped and
 * when the target is paused, so that a slow or dead second reader holds nobody up.
 */
export class EventBuffer {
  private entries: Entry[] = [];
  private first = 0;
  private total = 0;
  private foremost = 0;
  private foremostTotal = 0;
  private done = false;
  /** Ordinal after the last one that any reader has been given. */
  private given = 0;
  private readonly listeners = new Set<() => void>();
  private roomWaiter?: () => void;

  private readonly marks: Mark[] = [];
  private expired = 0;

  constructor(
    private readonly bounds: BufferBounds,
    private readonly clock: Clock,
  ) {}

  /** Ordinal of the oldest event that is held. */
  get start(): number {
    return this.first;
  }

  /** Ordinal that the next event gets. */
  get end(): number {
    return this.first + this.entries.length;
  }

  /** Whether the last event is in. */
  get closed(): boolean {
    return this.done;
  }

  /** Whether some reader has taken the last event. */
  get delivered(): boolean {
    return this.done && this.foremost >= this.end;
  }

  /** Adds an event; after a last event nothing is added. */
  append(event: EventBody): void {
    if (this.done) return;
    if (event.case === 'chunk') this.total += event.value.length;
    if (!this.join(event)) this.entries.push({ event, total: this.total });
    this.done = lastCases.has(event.case);
    for (const wake of this.listeners) wake();
  }

  /** The event of an ordinal, which from now on does not change; undefined when it is not there. */
  give(ordinal: number): EventBody | undefined {
    const event = this.entries[ordinal - this.first]?.event;
    if (event !== undefined && ordinal >= this.given) this.given = ordinal + 1;
    return event;
  }

  /** A reader has taken all events before `ordinal`. */
  taken(ordinal: number): void {
    if (ordinal <= this.foremost) return;
    this.foremost = ordinal;
    this.mark();
    this.foremostTotal = this.entries[ordinal - 1 - this.first]?.total ?? this.total;
    this.trim();
    if (this.hasRoom()) this.wakeWriter();
  }

  /** Whether the writer may add more. */
  hasRoom(): boolean {
    return this.total - this.foremostTotal < this.bounds.unread;
  }

  /** Resolves when there is room or the signal aborts. */
  room(signal: AbortSignal): Promise<void> {
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

  /** Calls `wake` after every event. Returns the way to stop. */
  onEvent(wake: () => void): () => void {
    this.listeners.add(wake);
    return () => {
      this.listeners.delete(wake);
    };
  }

  /** Drops all events; readers that still want them find them gone. */
  clear(): void {
    this.first = this.end;
    this.entries = [];
    this.done = true;
    for (const wake of this.listeners) wake();
  }

  private join(event: EventBody): boolean {
    const last = this.entries.at(-1);
    if (event.case !== 'chunk' || last?.event.case !== 'chunk' || this.given >= this.end) return false;
    if (last.event.value.length + event.value.length > JOIN_BYTES) return false;
    last.event = { case: 'chunk', value: Buffer.concat([last.event.value, event.value]) };
    last.total = this.total;
    return true;
  }

  private wakeWriter(): void {
    this.roomWaiter?.();
  }

  private mark(): void {
    const at = this.clock.monotonic();
    const last = this.marks.at(-1);
    if (last === undefined || at - last.at >= MARK_MS) this.marks.push({ at, ordinal: this.foremost });
  }

  /** Moves on to the ordinal before which all was taken longer ago than the bound. */
  private expire(): void {
    const limit = this.clock.monotonic() - this.bounds.behindMs;
    for (let oldest = this.marks[0]; oldest !== undefined && oldest.at <= limit; oldest = this.marks[0]) {
      this.expired = oldest.ordinal;
      this.marks.shift();
    }
  }

  private trim(): void {
    this.expire();
    let drop = Math.max(0, this.expired - this.first);
    const limit = this.foremostTotal - this.bounds.behind;
    const reach = this.foremost - this.first;
    while (drop < reach && (this.entries[drop]?.total ?? 0) <= limit) drop++;
    // In batches: shifting an array for each event would cost its length each time.
    if (drop < TRIM_BATCH) return;
    this.entries.splice(0, drop);
    this.first += drop;
  }
}
