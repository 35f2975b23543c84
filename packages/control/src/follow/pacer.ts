/** Spreads work over turns of the event loop. */

/** Lets one task go on in each turn of the event loop, in the order in which they came. */
export class Pacer {
  private readonly waiting: (() => void)[] = [];

  /** Resolves when it is the caller's turn. */
  next(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      if (this.waiting.length === 1) setImmediate(this.pass);
    });
  }

  private readonly pass = (): void => {
    this.waiting.shift()?.();
    if (this.waiting.length > 0) setImmediate(this.pass);
  };
}
