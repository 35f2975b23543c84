/** Keeps what has passed, in bounded memory. */

/** Bytes that were taken, up to a bound; past it none are kept. */
export class BoundedBuffer {
  private parts: Uint8Array[] = [];
  private size = 0;
  /** More came than the bound allows. */
  hasOverflowed = false;

  constructor(private readonly maxBytes: number) {}

  /** Keeps bytes. @returns all of them, these too, when they are more than the bound: none are kept then. */
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
