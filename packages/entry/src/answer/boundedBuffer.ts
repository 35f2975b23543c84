/** A byte buffer with a size limit. */

/** Collects bytes up to a limit. Beyond it, all are discarded and no more are collected. */
export class BoundedBuffer {
  private parts: Uint8Array[] = [];
  private size = 0;
  /** Whether more bytes were added than the limit allows. */
  hasOverflowed = false;

  constructor(private readonly maxBytes: number) {}

  /**
   * Adds bytes.
   * @returns everything collected, including these bytes, when the limit is exceeded for the first time.
   */
  add(bytes: Uint8Array): readonly Uint8Array[] | undefined {
    if (this.hasOverflowed) return undefined;
    this.size += bytes.length;
    this.parts.push(bytes);
    if (this.size <= this.maxBytes) return undefined;
    const all = this.parts;
    this.hasOverflowed = true;
    this.parts = [];
    return all;
  }

  get chunks(): readonly Uint8Array[] {
    return this.parts;
  }
}
