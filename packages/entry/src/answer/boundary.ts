/** Holds back the part of an event stream that does not yet make a whole event. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Largest event that is held back. */
export const MAX_EVENT_BYTES = 8 * 1024 * 1024;

const noBytes = new Uint8Array(0);

/** Index after the last blank line of `bytes`, or 0. */
function lastEventEnd(bytes: Uint8Array): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== LINE_FEED) continue;
    const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return at + 1;
  }
  return 0;
}

/**
 * Passes on whole events only. A target can be lost inside an event: had its first half gone out, neither an
 * error event nor the rest of the answer from another target could follow it.
 */
export class EventFramer {
  private incomplete: Uint8Array = noBytes;

  /** Bytes that wait for the end of their event. */
  get pendingBytes(): number {
    return this.incomplete.length;
  }

  /** Takes bytes and gives those up to the end of the last whole event, unchanged. */
  push(bytes: Uint8Array): Uint8Array {
    const all = this.incomplete.length === 0 ? bytes : Buffer.concat([this.incomplete, bytes]);
    const end = lastEventEnd(all);
    this.incomplete = end === all.length ? noBytes : all.subarray(end);
    return end === all.length ? all : all.subarray(0, end);
  }

  /** Forgets the cut-off event. */
  discard(): void {
    this.incomplete = noBytes;
  }
}
