/** One part of the table of settled claims: open addressing over one typed array. */

/** 32-bit words of a record: key hash 4, fingerprint hash 2, attempt hash 1, expiry and state 1. */
export const RECORD_WORDS = 8;

/** Bytes of a record. */
export const RECORD_BYTES = RECORD_WORDS * 4;

/** Seconds in one unit of expiry. */
const UNIT_SECONDS = 16;

/** Milliseconds in one unit of expiry: records live up to one unit longer than asked. */
export const EXPIRY_UNIT_MS = UNIT_SECONDS * 1_000;

const KEY_WORDS = 4;
const LAST_WORD = RECORD_WORDS - 1;
const RELEASED_BIT = 1;
const MIN_SLOTS = 8;
const MAX_FILL = 0.85;
const FILL_AFTER_GROWTH = 0.6;

/** A settled claim. */
export interface SettledClaim {
  /** Four words. */
  readonly key: Uint32Array;
  readonly fingerprint: readonly [number, number];
  readonly attempt: number;
  /** Proved not run: only the attempt itself is still held off. */
  readonly released: boolean;
  /** In units of the state's time; at least 1. */
  readonly expires: number;
}

/** Records by key hash. Expired ones count as absent and go when the room is needed. */
export class Segment {
  private words = new Uint32Array(MIN_SLOTS * RECORD_WORDS);
  private used = 0;

  /** Bytes of the array. */
  bytes(): number {
    return this.words.byteLength;
  }

  /** The live record of a key. It is a window on the segment: read it at once. */
  find(key: Uint32Array, nowUnit: number): Uint32Array | undefined {
    const at = this.slotOf(key);
    if (expiryOf(this.words[at + LAST_WORD] ?? 0) <= nowUnit) return undefined;
    return this.words.subarray(at, at + RECORD_WORDS);
  }

  /** Adds or replaces a record. */
  put(record: Uint32Array, nowUnit: number): void {
    if (this.used + 1 > this.slots() * MAX_FILL) this.rebuild(nowUnit);
    const at = this.slotOf(record);
    if (this.words[at + LAST_WORD] === 0) this.used += 1;
    this.words.set(record, at);
  }

  /** Makes a record count as expired. Its slot stays taken, so that searches still pass over it. */
  remove(key: Uint32Array): void {
    const at = this.slotOf(key);
    if (this.words[at + LAST_WORD] !== 0) this.words[at + LAST_WORD] = RELEASED_BIT;
  }

  /** Copies the live records as they are; returns where the next ones go, in words. */
  copyLive(into: Uint32Array, start: number, nowUnit: number): number {
    const { words } = this;
    let next = start;
    for (let at = 0; at < words.length; at += RECORD_WORDS) {
      if (expiryOf(words[at + LAST_WORD] ?? 0) <= nowUnit) continue;
      for (let offset = 0; offset < RECORD_WORDS; offset += 1) into[next + offset] = words[at + offset] ?? 0;
      next += RECORD_WORDS;
    }
    return next;
  }

  private slots(): number {
    return this.words.length / RECORD_WORDS;
  }

  /** Word index of the key's record, or of the free slot where it belongs. */
  private slotOf(key: Uint32Array): number {
    const { words } = this;
    const slots = this.slots();
    let slot = (key[1] ?? 0) % slots;
    for (;;) {
      const at = slot * RECORD_WORDS;
      if (words[at + LAST_WORD] === 0 || sameKey(words, at, key)) return at;
      slot = slot + 1 === slots ? 0 : slot + 1;
    }
  }

  /** Drops expired records and makes room for as many as needed. */
  private rebuild(nowUnit: number): void {
    const live = new Uint32Array(this.words.length);
    const end = this.copyLive(live, 0, nowUnit);
    this.used = end / RECORD_WORDS;
    const slots = Math.max(MIN_SLOTS, Math.ceil((this.used + 1) / FILL_AFTER_GROWTH));
    this.words = new Uint32Array(slots * RECORD_WORDS);
    for (let at = 0; at < end; at += RECORD_WORDS) {
      const record = live.subarray(at, at + RECORD_WORDS);
      this.words.set(record, this.slotOf(record));
    }
  }
}

/** A settled claim out of its record. */
export function claimOf(record: Uint32Array): SettledClaim {
  const word = (offset: number): number => record[offset] ?? 0;
  const last = word(LAST_WORD);
  return {
    key: record.slice(0, KEY_WORDS),
    fingerprint: [word(KEY_WORDS), word(KEY_WORDS + 1)],
    attempt: word(KEY_WORDS + 2),
    released: (last & RELEASED_BIT) !== 0,
    expires: expiryOf(last),
  };
}

/** The record of a settled claim. */
export function recordOf(claim: SettledClaim): Uint32Array {
  const last = claim.expires * 2 + (claim.released ? RELEASED_BIT : 0);
  return Uint32Array.of(...claim.key, ...claim.fingerprint, claim.attempt, last);
}

/** Unit of expiry of a record. */
export function expiryOfRecord(record: Uint32Array): number {
  return expiryOf(record[LAST_WORD] ?? 0);
}

function expiryOf(lastWord: number): number {
  return lastWord >>> 1;
}

function sameKey(words: Uint32Array, at: number, key: Uint32Array): boolean {
  return (
    words[at] === key[0] && words[at + 1] === key[1] && words[at + 2] === key[2] && words[at + 3] === key[3]
  );
}
