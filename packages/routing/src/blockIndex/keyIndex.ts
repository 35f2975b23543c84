/** Open-addressing index from a 64-bit key to the number of an entry, in typed arrays. */

/** Keys of all entries, as two halves, by entry number. Keys are hashes, so their bits are even. */
export interface Keys {
  low: Uint32Array;
  high: Uint32Array;
}

/** Share of the slots that may be in use. */
const MAX_FILL = 0.8;

const UNIT = 2 ** -32;

/** Linear probing; removal closes the hole, so no tombstones build up. */
export class KeyIndex {
  /** Entry number plus one; 0: free. */
  private slots = new Uint32Array(1);

  constructor(private readonly keys: Keys) {}

  /** Makes room for `entries` and puts `used` in again. */
  rebuild(entries: number, used: Iterable<number>): void {
    this.slots = new Uint32Array(Math.ceil(entries / MAX_FILL) + 1);
    for (const entry of used) this.add(entry);
  }

  clear(): void {
    this.slots.fill(0);
  }

  /** Number of the entry with a key, or -1. */
  find(low: number, high: number): number {
    const { slots, keys } = this;
    let slot = this.home(low);
    for (;;) {
      const held = slots[slot] ?? 0;
      if (held === 0) return -1;
      if (keys.low[held - 1] === low && keys.high[held - 1] === high) return held - 1;
      slot = this.next(slot);
    }
  }

  /** Adds an entry whose key is set. */
  add(entry: number): void {
    let slot = this.home(this.keys.low[entry] ?? 0);
    while (this.slots[slot] !== 0) slot = this.next(slot);
    this.slots[slot] = entry + 1;
  }

  /** Takes an entry out; its key must still be set. */
  remove(entry: number): void {
    let slot = this.home(this.keys.low[entry] ?? 0);
    while (this.slots[slot] !== entry + 1) {
      if (this.slots[slot] === 0) return;
      slot = this.next(slot);
    }
    this.closeHole(slot);
  }

  get bytes(): number {
    return this.slots.byteLength;
  }

  /** Moves later entries of the run back, so that no search stops early at the hole. */
  private closeHole(start: number): void {
    const { slots } = this;
    let hole = start;
    let slot = this.next(start);
    for (;;) {
      const held = slots[slot] ?? 0;
      if (held === 0) break;
      const home = this.home(this.keys.low[held - 1] ?? 0);
      if (this.distance(home, slot) >= this.distance(hole, slot)) {
        slots[hole] = held;
        hole = slot;
      }
      slot = this.next(slot);
    }
    slots[hole] = 0;
  }

  private home(low: number): number {
    return Math.floor(low * UNIT * this.slots.length);
  }

  private next(slot: number): number {
    return slot + 1 === this.slots.length ? 0 : slot + 1;
  }

  private distance(from: number, to: number): number {
    return to >= from ? to - from : to - from + this.slots.length;
  }
}
