/** Finds the boundaries of server-sent events in bytes, without decoding them. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** Largest event that is buffered while its end is missing. */
export const MAX_EVENT_BYTES = 8 * 1024 * 1024;

/** Complete events from a stream of bytes. */
export interface EventSlice {
  /** Bytes of the events, without comments. May be empty. */
  readonly bytes: Uint8Array;
  /** Number of events. */
  readonly events: number;
}

const EMPTY_SLICE: EventSlice = { bytes: new Uint8Array(0), events: 0 };

/** End of the line that starts at `from`: index after its line feed, or -1. */
function lineEnd(bytes: Uint8Array, from: number): number {
  const at = bytes.indexOf(LINE_FEED, from);
  return at === -1 ? -1 : at + 1;
}

function isBlank(bytes: Uint8Array, from: number, end: number): boolean {
  const length = end - from;
  return length === 1 || (length === 2 && bytes[from] === CARRIAGE_RETURN);
}

/**
 * Splits a byte stream into complete events. An incomplete event is buffered: otherwise an answer that breaks inside an
 * event could not be continued from the next event on without repeating bytes. Blocks that consist of comments alone
 * (heartbeats) are removed and not counted.
 */
export class EventScanner {
  private remainder: Uint8Array = EMPTY_SLICE.bytes;
  private count = 0;
  private latest: Uint8Array = EMPTY_SLICE.bytes;
  private previous: Uint8Array = EMPTY_SLICE.bytes;

  /** Number of events so far. */
  get events(): number {
    return this.count;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pending(): number {
    return this.remainder.length;
  }

  /** The last complete event. */
  get last(): Uint8Array {
    return this.latest;
  }

  /** The event before the last one. */
  get beforeLast(): Uint8Array {
    return this.previous;
  }

  /** Adds bytes and returns the events that are complete. */
  push(chunk: Uint8Array): EventSlice {
    const bytes = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
    const parts: Uint8Array[] = [];
    const before = this.count;
    let blockStart = 0;
    let lineStart = 0;
    let partStart = 0;
    let isComment = true;
    for (let end = lineEnd(bytes, 0); end !== -1; end = lineEnd(bytes, lineStart)) {
      if (!isBlank(bytes, lineStart, end)) {
        isComment &&= bytes[lineStart] === COLON;
        lineStart = end;
        continue;
      }
      if (isComment) {
        if (partStart < blockStart) parts.push(bytes.subarray(partStart, blockStart));
        partStart = end;
      } else {
        this.record(bytes.subarray(blockStart, end));
      }
      blockStart = end;
      lineStart = end;
      isComment = true;
    }
    if (partStart < blockStart) parts.push(bytes.subarray(partStart, blockStart));
    this.remainder = bytes.subarray(blockStart);
    return { bytes: join(parts), events: this.count - before };
  }

  private record(event: Uint8Array): void {
    this.count++;
    this.previous = this.latest;
    this.latest = event;
  }
}

function join(parts: readonly Uint8Array[]): Uint8Array {
  if (parts.length === 0) return EMPTY_SLICE.bytes;
  return parts.length === 1 && parts[0] !== undefined ? parts[0] : Buffer.concat(parts);
}

const decoder = new TextDecoder();

/** Data of one event: its data lines joined. */
export function dataOf(event: Uint8Array): string {
  const lines = decoder.decode(event).split(/\r?\n/);
  const data = lines.filter((line) => line.startsWith('data:'));
  return data.map((line) => line.slice(line.startsWith('data: ') ? 6 : 5)).join('\n');
}
