/** Finds the boundaries of server-sent events in bytes, without decoding them. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/** The largest event that is held back while its end is missing. */
export const MAX_EVENT_BYTES = 8 * 1024 * 1024;

/** Whole events, cut out of a stream of bytes. */
export interface EventSlice {
  /** Whole events only, comments left out. May be empty. */
  readonly bytes: Uint8Array;
  /** How many events that is. */
  readonly events: number;
}

const nothing: EventSlice = { bytes: new Uint8Array(0), events: 0 };

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
 * Cuts a byte stream into whole events. An event that is not whole yet is held back: an answer that breaks
 * inside an event could otherwise not be continued from the next event on without repeating bytes.
 * Blocks that consist of comments alone (heartbeats) are taken out and not counted.
 */
export class EventScanner {
  private rest: Uint8Array = nothing.bytes;
  private count = 0;
  private latest: Uint8Array = nothing.bytes;
  private previous: Uint8Array = nothing.bytes;

  /** Events so far. */
  get events(): number {
    return this.count;
  }

  /** Bytes that wait for the end of their event. */
  get pending(): number {
    return this.rest.length;
  }

  /** The last whole event. */
  get last(): Uint8Array {
    return this.latest;
  }

  /** The one before it. */
  get beforeLast(): Uint8Array {
    return this.previous;
  }

  /** Takes bytes in and gives out what is whole. */
  push(chunk: Uint8Array): EventSlice {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const parts: Uint8Array[] = [];
    const before = this.count;
    let blockStart = 0;
    let lineStart = 0;
    let partStart = 0;
    let comment = true;
    for (let end = lineEnd(bytes, 0); end !== -1; end = lineEnd(bytes, lineStart)) {
      if (!isBlank(bytes, lineStart, end)) {
        comment &&= bytes[lineStart] === COLON;
        lineStart = end;
        continue;
      }
      if (comment) {
        if (partStart < blockStart) parts.push(bytes.subarray(partStart, blockStart));
        partStart = end;
      } else {
        this.note(bytes.subarray(blockStart, end));
      }
      blockStart = end;
      lineStart = end;
      comment = true;
    }
    if (partStart < blockStart) parts.push(bytes.subarray(partStart, blockStart));
    this.rest = bytes.subarray(blockStart);
    return { bytes: join(parts), events: this.count - before };
  }

  private note(event: Uint8Array): void {
    this.count++;
    this.previous = this.latest;
    this.latest = event;
  }
}

function join(parts: readonly Uint8Array[]): Uint8Array {
  if (parts.length === 0) return nothing.bytes;
  return parts.length === 1 && parts[0] !== undefined ? parts[0] : Buffer.concat(parts);
}

const decoder = new TextDecoder();

/** The data of one event: its data lines joined. */
export function dataOf(event: Uint8Array): string {
  const lines = decoder.decode(event).split(/\r?\n/);
  const data = lines.filter((line) => line.startsWith('data:'));
  return data.map((line) => line.slice(line.startsWith('data: ') ? 6 : 5)).join('\n');
}
