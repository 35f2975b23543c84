/** Settled claims in bounded memory. */
import { EXPIRY_UNIT_MS, RECORD_WORDS, Segment, claimOf, expiryOfRecord, recordOf } from './segment.js';
import type { SettledClaim } from './segment.js';
import type { LogTime } from '../state/index.js';

/** Segments: each is rebuilt by itself, so that growth never stops the process for long. */
const SEGMENTS = 256;

/** Unit of expiry that a time falls into. */
export function unitOf(time: LogTime): number {
  return Math.floor(time / EXPIRY_UNIT_MS);
}

/**
 * Settled claims by key hash, in typed arrays: an object for each would take several times the memory. How
 * many are live follows from the commands alone, not from the layout, so replicas agree on when it is full.
 */
export class SettledTable {
  private segments = Array.from({ length: SEGMENTS }, () => new Segment());
  /** Live records by unit of expiry, for the count. */
  private readonly byUnit = new Map<number, number>();
  private live = 0;
  private nowUnit = 0;

  /** Live records. */
  size(): number {
    return this.live;
  }

  /** Bytes of the arrays. */
  bytes(): number {
    return this.segments.reduce((sum, segment) => sum + segment.bytes(), 0);
  }

  find(key: Uint32Array): SettledClaim | undefined {
    const record = this.segmentOf(key).find(key, this.nowUnit);
    return record && claimOf(record);
  }

  /** Adds or replaces a record. */
  put(claim: SettledClaim): void {
    this.putRecord(recordOf(claim));
  }

  remove(key: Uint32Array): void {
    const segment = this.segmentOf(key);
    const old = segment.find(key, this.nowUnit);
    if (old === undefined) return;
    this.count(expiryOfRecord(old), -1);
    segment.remove(key);
  }

  /** The state's time has moved. */
  advanced(now: LogTime): void {
    const unit = unitOf(now);
    if (unit === this.nowUnit) return;
    this.nowUnit = unit;
    for (const [expires, count] of this.byUnit) {
      if (expires <= unit) this.count(expires, -count);
    }
  }

  /** All live records, fixed size each. */
  snapshot(): Uint8Array {
    const words = new Uint32Array(this.live * RECORD_WORDS);
    let at = 0;
    for (const segment of this.segments) at = segment.copyLive(words, at, this.nowUnit);
    return new Uint8Array(words.buffer);
  }

  restore(data: Uint8Array, now: LogTime): void {
    this.segments = Array.from({ length: SEGMENTS }, () => new Segment());
    this.byUnit.clear();
    this.live = 0;
    this.nowUnit = unitOf(now);
    /*
     * Copied, because a typed array needs its start on a multiple of its element's size. Not by `slice`: on a
     * Buffer, as a file gives it, that is a view, and the claims would be read from whatever else its memory holds.
     */
    const words = new Uint32Array(new Uint8Array(data).buffer);
    for (let at = 0; at + RECORD_WORDS <= words.length; at += RECORD_WORDS) {
      this.putRecord(words.subarray(at, at + RECORD_WORDS));
    }
  }

  private putRecord(record: Uint32Array): void {
    const segment = this.segmentOf(record);
    const old = segment.find(record, this.nowUnit);
    if (old !== undefined) this.count(expiryOfRecord(old), -1);
    segment.put(record, this.nowUnit);
    this.count(expiryOfRecord(record), 1);
  }

  private segmentOf(key: Uint32Array): Segment {
    const segment = this.segments[(key[0] ?? 0) % SEGMENTS];
    if (segment === undefined) throw new Error('no segment');
    return segment;
  }

  private count(expires: number, change: number): void {
    const next = (this.byUnit.get(expires) ?? 0) + change;
    this.live += change;
    if (next === 0) this.byUnit.delete(expires);
    else this.byUnit.set(expires, next);
  }
}
