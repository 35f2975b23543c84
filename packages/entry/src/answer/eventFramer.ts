/** Splits an event stream into complete events without changing its bytes. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Maximum size of an incomplete event that is buffered, bytes. */
export const MAX_EVENT_BYTES = 8 * 1024 * 1024;

const noBytes = new Uint8Array(0);

/** Offset after the last empty line, or 0. */
function lastEventEnd(bytes: Uint8Array): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== LINE_FEED) continue;
    const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return at + 1;
  }
  return 0;
}

/**
 * Forwards complete events only. A target can be lost in the middle of an event. If the first half of it had been
 * sent, neither an error event nor the rest of the answer from another target could follow.
 */
export class EventFramer {
  private incomplete: Uint8Array = noBytes;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.incomplete.length;
  }

  /** Adds bytes and returns the complete events, unchanged. */
  push(bytes: Uint8Array): Uint8Array {
    const all = this.incomplete.length === 0 ? bytes : Buffer.concat([this.incomplete, bytes]);
    const end = lastEventEnd(all);
    this.incomplete = end === all.length ? noBytes : all.subarray(end);
    return end === all.length ? all : all.subarray(0, end);
  }

  /** Discards the incomplete event. */
  discard(): void {
    this.incomplete = noBytes;
  }
}
