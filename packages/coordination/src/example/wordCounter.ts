/** State machine of the example: counts words. */
import type { StateMachine } from '../agreement/index.js';

/** Words and their counts. A command is a word, its result the new count. */
export class WordCounter implements StateMachine {
  private counts = new Map<string, number>();

  apply(_index: bigint, command: Uint8Array): Uint8Array {
    const word = Buffer.from(command).toString();
    const count = (this.counts.get(word) ?? 0) + 1;
    this.counts.set(word, count);
    return Buffer.from(String(count));
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify([...this.counts]));
  }

  restore(data: Uint8Array): void {
    this.counts = new Map(JSON.parse(Buffer.from(data).toString()) as [string, number][]);
  }

  countOf(word: string): number {
    return this.counts.get(word) ?? 0;
  }
}
