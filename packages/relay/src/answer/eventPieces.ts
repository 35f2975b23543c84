/** Whole events of a stream, bytes unchanged. */

const LINE_FEED = 0x0a;
const ID_FIELD = /(?:^|\n)id: ?(\d+)/g;

/** Largest event that is held back while its end is missing, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Position after the last empty line, or 0. */
function wholeEnd(bytes: Uint8Array): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] === LINE_FEED && bytes[at - 1] === LINE_FEED) return at + 1;
  }
  return 0;
}

/**
 * Cuts a stream into whole events, so that a break inside one never reaches the caller, and checks that ids only
 * grow. Unlike a parser it changes no byte: the caller must get exactly what the target made.
 */
export class EventPieces {
  private rest: Uint8Array = new Uint8Array(0);
  private last = -1;

  /** @param after id of the last event that the caller has; -1: none. Events up to it are left out. */
  constructor(after = -1) {
    this.last = after;
  }

  /** Id of the last whole event given out; -1: none. */
  get lastId(): number {
    return this.last;
  }

  /** Bytes that wait for the end of their event. */
  get pending(): Uint8Array {
    return this.rest;
  }

  /** Takes bytes in and gives out whole events. @throws Error when ids don't grow or an event is too large. */
  push(chunk: Uint8Array): Uint8Array {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = wholeEnd(bytes);
    if (bytes.length - end > MAX_EVENT_BYTES) throw new Error('an event is too large');
    this.rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    this.check(whole);
    return whole;
  }

  private check(events: Uint8Array): void {
    const text = Buffer.from(events.buffer, events.byteOffset, events.length).toString('latin1');
    for (const [, digits] of text.matchAll(ID_FIELD)) {
      const id = Number(digits);
      if (id <= this.last) throw new Error(`event ${id} after event ${this.last}`);
      this.last = id;
    }
  }
}
