/** Keeps what has passed, in bounded memory. */

/** Bytes that were taken, up to a bound; past it none are kept. */
export class Keeper {
  private parts: Uint8Array[] = [];
  private size = 0;
  /** More came than the bound allows. */
  overflown = false;

  constructor(private readonly bound: number) {}

  /** Keeps bytes. @returns all of them, these too, when they are more than the bound: none are kept then. */
  add(bytes: Uint8Array): readonly Uint8Array[] | undefined {
    if (this.overflown) return undefined;
    this.size += bytes.length;
    this.parts.push(bytes);
    if (this.size <= this.bound) return undefined;
    const all = this.parts;
    this.overflown = true;
    this.parts = [];
    return all;
  }

  get all(): readonly Uint8Array[] {
    return this.parts;
  }
}
