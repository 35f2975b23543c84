/** Splits a stream of events at event boundaries without changing its bytes. */

const LINE_FEED = 0x0a;
const ID_FIELD = /(?:^|\n)id: ?(\d+)/g;

/** Maximum size of an incomplete event that is buffered, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Offset after the last empty line, or 0. */
function lastEventEnd(bytes: Uint8Array): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === LINE_FEED && bytes[index - 1] === LINE_FEED) return index + 1;
  }
  return 0;
}

/**
 * Splits a stream into complete events, so that a partial event never reaches the caller, and checks that event ids
 * increase. Unlike a parser it changes no byte: the caller must get exactly what the target sent.
 */
export class EventFramer {
  private incomplete: Uint8Array = new Uint8Array(0);
  private last = -1;

  /** @param after id of the last event that the caller has; -1 if it has none. Later events must have higher ids. */
  constructor(after = -1) {
    this.last = after;
  }

  /** Id of the last complete event returned; -1 if there is none. */
  get lastId(): number {
    return this.last;
  }

  /** Bytes of an incomplete event. */
  get pending(): Uint8Array {
    return this.incomplete;
  }

  /**
   * Adds bytes and returns the complete events.
   * @throws Error when ids do not increase or an event is too large.
   */
  push(chunk: Uint8Array): Uint8Array {
    const bytes = this.incomplete.length === 0 ? chunk : Buffer.concat([this.incomplete, chunk]);
    const end = lastEventEnd(bytes);
    if (bytes.length - end > MAX_EVENT_BYTES) throw new Error('an event is too large');
    this.incomplete = bytes.subarray(end);
    const events = bytes.subarray(0, end);
    this.checkIds(events);
    return events;
  }

  private checkIds(events: Uint8Array): void {
    const text = Buffer.from(events.buffer, events.byteOffset, events.length).toString('latin1');
    for (const [, digits] of text.matchAll(ID_FIELD)) {
      const id = Number(digits);
      if (id <= this.last) throw new Error(`event ${id} after event ${this.last}`);
      this.last = id;
    }
  }
}
