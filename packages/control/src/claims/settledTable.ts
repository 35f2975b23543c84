/** Settled claims in bounded memory. */
import {
  EXPIRY_UNIT_MS,
  RECORD_WORDS,
  Segment,
  decodeRecord,
  expiryOfRecord,
  encodeRecord,
} from './segment.js';
import type { SettledClaim } from './segment.js';
import type { LogTime } from '../state/index.js';

/** Number of segments: each is rebuilt separately, so that growth never blocks the event loop for long. */
const SEGMENTS = 256;

/** Expiry unit that contains a time. */
export function expiryUnitOf(time: LogTime): number {
  return Math.floor(time / EXPIRY_UNIT_MS);
}

/**
 * Settled claims by key hash, in typed arrays: one object per claim would take several times the memory. The number of
 * live records depends only on the commands, not on the layout, so replicas agree on when the table is full.
 */
export class SettledTable {
  private segments = Array.from({ length: SEGMENTS }, () => new Segment());
  /** Number of live records by expiry unit. */
  private readonly liveByExpiry = new Map<number, number>();
  private live = 0;
  private nowUnit = 0;

  /** Number of live records. */
  size(): number {
    return this.live;
  }

  /** Size of the arrays, bytes. */
  bytes(): number {
    return this.segments.reduce((sum, segment) => sum + segment.bytes(), 0);
  }

  find(key: Uint32Array): SettledClaim | undefined {
    const record = this.segmentOf(key).find(key, this.nowUnit);
    return record && decodeRecord(record);
  }

  /** Adds or replaces a record. */
  put(claim: SettledClaim): void {
    this.putRecord(encodeRecord(claim));
  }

  remove(key: Uint32Array): void {
    const segment = this.segmentOf(key);
    const old = segment.find(key, this.nowUnit);
    if (old === undefined) return;
    this.count(expiryOfRecord(old), -1);
    segment.remove(key);
  }

  /** Expires the records whose time is over at log time `now`. */
  advanceTo(now: LogTime): void {
    const unit = expiryUnitOf(now);
    if (unit === this.nowUnit) return;
    this.nowUnit = unit;
    for (const [expires, count] of this.liveByExpiry) {
      if (expires <= unit) this.count(expires, -count);
    }
  }

  /** All live records, one after the other; each has a fixed size. */
  snapshot(): Uint8Array {
    const words = new Uint32Array(this.live * RECORD_WORDS);
    let at = 0;
    for (const segment of this.segments) at = segment.copyLive(words, at, this.nowUnit);
    return new Uint8Array(words.buffer);
  }

  restore(data: Uint8Array, now: LogTime): void {
    this.segments = Array.from({ length: SEGMENTS }, () => new Segment());
    this.liveByExpiry.clear();
    this.live = 0;
    this.nowUnit = expiryUnitOf(now);
    /*
     * Copied, because the offset of a typed array must be a multiple of its element size. Not with `slice`: on a Buffer,
     * which a file read returns, that makes a view, and its `buffer` holds other data as well.
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
    if (segment === undefined) throw new Error('no segment for the key');
    return segment;
  }

  private count(expires: number, change: number): void {
    const next = (this.liveByExpiry.get(expires) ?? 0) + change;
    this.live += change;
    if (next === 0) this.liveByExpiry.delete(expires);
    else this.liveByExpiry.set(expires, next);
  }
}
