/** One segment of the table of settled claims: a hash table with open addressing in one typed array. */

/** 32-bit words of a record: key hash 4, fingerprint hash 2, attempt hash 1, expiry and release bit 1. */
export const RECORD_WORDS = 8;

/** Bytes of a record. */
export const RECORD_BYTES = RECORD_WORDS * 4;

/** Seconds in one expiry unit. */
const UNIT_SECONDS = 16;

/** Milliseconds in one expiry unit: records live up to one unit longer than requested. */
export const EXPIRY_UNIT_MS = UNIT_SECONDS * 1_000;

const KEY_WORDS = 4;
const LAST_WORD = RECORD_WORDS - 1;
const RELEASED_BIT = 1;
const MIN_SLOTS = 8;
const MAX_LOAD_FACTOR = 0.85;
const LOAD_FACTOR_AFTER_REBUILD = 0.6;

/** A settled claim. */
export interface SettledClaim {
  /** Four words. */
  readonly key: Uint32Array;
  readonly fingerprint: readonly [number, number];
  readonly attempt: number;
  /** The request is proven not to have run: other attempts may claim the key, the released one may not. */
  readonly released: boolean;
  /** Log time of expiry in expiry units; at least 1. */
  readonly expiryUnit: number;
}

/** Records by key hash. Expired ones count as absent; a rebuild removes them. */
export class Segment {
  private words = new Uint32Array(MIN_SLOTS * RECORD_WORDS);
  private used = 0;

  /** Size of the array, bytes. */
  bytes(): number {
    return this.words.byteLength;
  }

  /** The live record of a key, as a view of the segment that is valid only until the next change. */
  find(key: Uint32Array, nowUnit: number): Uint32Array | undefined {
    const at = this.slotOf(key);
    if (expiryOf(this.words[at + LAST_WORD] ?? 0) <= nowUnit) return undefined;
    return this.words.subarray(at, at + RECORD_WORDS);
  }

  /** Adds or replaces a record. */
  put(record: Uint32Array, nowUnit: number): void {
    if (this.used + 1 > this.slots() * MAX_LOAD_FACTOR) this.rebuild(nowUnit);
    const at = this.slotOf(record);
    if (this.words[at + LAST_WORD] === 0) this.used += 1;
    this.words.set(record, at);
  }

  /** Marks a record as expired. Its slot stays occupied, so that probing continues past it. */
  remove(key: Uint32Array): void {
    const at = this.slotOf(key);
    if (this.words[at + LAST_WORD] !== 0) this.words[at + LAST_WORD] = RELEASED_BIT;
  }

  /** Copies the live records into `into` from word `start` on; returns the word index after the last one. */
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

  /** Word index of the key's record, or of the free slot for it. */
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

  /** Removes expired records and resizes the array for the remaining ones. */
  private rebuild(nowUnit: number): void {
    const live = new Uint32Array(this.words.length);
    const end = this.copyLive(live, 0, nowUnit);
    this.used = end / RECORD_WORDS;
    const slots = Math.max(MIN_SLOTS, Math.ceil((this.used + 1) / LOAD_FACTOR_AFTER_REBUILD));
    this.words = new Uint32Array(slots * RECORD_WORDS);
    for (let at = 0; at < end; at += RECORD_WORDS) {
      const record = live.subarray(at, at + RECORD_WORDS);
      this.words.set(record, this.slotOf(record));
    }
  }
}

/** Decodes the record of a settled claim. */
export function decodeRecord(record: Uint32Array): SettledClaim {
  const word = (offset: number): number => record[offset] ?? 0;
  const last = word(LAST_WORD);
  return {
    key: record.slice(0, KEY_WORDS),
    fingerprint: [word(KEY_WORDS), word(KEY_WORDS + 1)],
    attempt: word(KEY_WORDS + 2),
    released: (last & RELEASED_BIT) !== 0,
    expiryUnit: expiryOf(last),
  };
}

/** Encodes a settled claim as a record. */
export function encodeRecord(claim: SettledClaim): Uint32Array {
  const last = claim.expiryUnit * 2 + (claim.released ? RELEASED_BIT : 0);
  return Uint32Array.of(...claim.key, ...claim.fingerprint, claim.attempt, last);
}

/** Expiry unit of a record. */
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
