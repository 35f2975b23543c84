/** Open-addressing hash table from 64-bit keys to entry numbers, in typed arrays. */

/** Keys by entry number, as two halves. Keys are hashes, so they are uniformly distributed. */
export interface Keys {
  low: Uint32Array;
  high: Uint32Array;
}

/** Maximum fraction of slots in use. */
const MAX_LOAD_FACTOR = 0.8;

const UNIT = 2 ** -32;

/** Linear probing with backward-shift deletion, which needs no tombstones. */
export class KeyIndex {
  /** Entry number plus one, or 0 for a free slot. */
  private slots = new Uint32Array(1);

  constructor(private readonly keys: Keys) {}

  /** Resizes the table for `entries` entries and inserts those of `used`. */
  rebuild(entries: number, used: Iterable<number>): void {
    this.slots = new Uint32Array(Math.ceil(entries / MAX_LOAD_FACTOR) + 1);
    for (const entry of used) this.add(entry);
  }

  clear(): void {
    this.slots.fill(0);
  }

  /** Entry number of a key, or -1. */
  find(low: number, high: number): number {
    const { slots, keys } = this;
    let slot = this.idealSlot(low);
    for (;;) {
      const held = slots[slot] ?? 0;
      if (held === 0) return -1;
      if (keys.low[held - 1] === low && keys.high[held - 1] === high) return held - 1;
      slot = this.nextSlot(slot);
    }
  }

  /** Adds an entry. Its key must be set. */
  add(entry: number): void {
    let slot = this.idealSlot(this.keys.low[entry] ?? 0);
    while (this.slots[slot] !== 0) slot = this.nextSlot(slot);
    this.slots[slot] = entry + 1;
  }

  /** Removes an entry. Its key must still be set. */
  remove(entry: number): void {
    let slot = this.idealSlot(this.keys.low[entry] ?? 0);
    while (this.slots[slot] !== entry + 1) {
      if (this.slots[slot] === 0) return;
      slot = this.nextSlot(slot);
    }
    this.closeHole(slot);
  }

  get bytes(): number {
    return this.slots.byteLength;
  }

  /** Shifts later entries of the run back, so that no lookup ends early at the free slot. */
  private closeHole(start: number): void {
    const { slots } = this;
    let hole = start;
    let slot = this.nextSlot(start);
    for (;;) {
      const held = slots[slot] ?? 0;
      if (held === 0) break;
      const ideal = this.idealSlot(this.keys.low[held - 1] ?? 0);
      if (this.distance(ideal, slot) >= this.distance(hole, slot)) {
        slots[hole] = held;
        hole = slot;
      }
      slot = this.nextSlot(slot);
    }
    slots[hole] = 0;
  }

  private idealSlot(low: number): number {
    return Math.floor(low * UNIT * this.slots.length);
  }

  private nextSlot(slot: number): number {
    return slot + 1 === this.slots.length ? 0 : slot + 1;
  }

  private distance(from: number, to: number): number {
    return to >= from ? to - from : to - from + this.slots.length;
  }
}
