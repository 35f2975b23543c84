/**
 * Checksummed records in a file: length (u32), checksum of the length (u32), checksum of the payload (u32), all
 * little-endian, the payload, and one closing byte that is not zero.
 */
import { crc32 } from 'node:zlib';

const HEADER_BYTES = 12;
const CLOSING_BYTE = 0xa5;

/** Bytes that a record takes beyond its payload. */
export const FRAME_OVERHEAD_BYTES = HEADER_BYTES + 1;

/** How a file's records end. */
export type FrameEnd =
  /** With a whole record. */
  | 'whole'
  /** With an incomplete record: its write was interrupted, so it was never acknowledged. */
  | 'torn'
  /** With a missing or incomplete record, followed by later ones. */
  | 'gap'
  /** With bytes that no interrupted write can leave: synced data has changed. */
  | 'corrupt';

/** The records that were read. */
export interface Frames {
  readonly payloads: Uint8Array[];
  /** Offset of each payload's record. */
  readonly offsets: number[];
  /** Offset after the last whole record. */
  readonly end: number;
  readonly ending: FrameEnd;
  /** Payloads of whole records after a gap. */
  readonly laterPayloads: Uint8Array[];
}

/** Encodes one record. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
  const frame = Buffer.alloc(payload.length + FRAME_OVERHEAD_BYTES);
  frame.writeUInt32LE(payload.length, 0);
  frame.writeUInt32LE(crc32(frame.subarray(0, 4)), 4);
  frame.writeUInt32LE(crc32(payload), 8);
  frame.set(payload, HEADER_BYTES);
  frame.writeUInt8(CLOSING_BYTE, frame.length - 1);
  return frame;
}

const isZero = (data: Buffer): boolean => data.every((byte) => byte === 0);

/**
 * Distinguishes an interrupted write from changed data. Repairing the first is safe: the record was never
 * acknowledged. Repairing the second would silently drop an acknowledged entry, which a quorum may rely on.
 * An interrupted write leaves the beginning of the record, followed by nothing or zeros (the length of a file can
 * reach the disk before its data). The length has its own checksum, since a flipped bit in it would otherwise look
 * like a record that extends past the end of the file. The closing byte distinguishes a payload that ends in zeros
 * from an incomplete one.
 */
function classifyEnd(rest: Buffer): FrameEnd {
  if (rest.length === 0) return 'whole';
  if (rest.length < HEADER_BYTES) return 'torn';
  if (crc32(rest.subarray(0, 4)) !== rest.readUInt32LE(4)) {
    return isZero(rest.subarray(HEADER_BYTES)) ? 'torn' : 'corrupt';
  }
  const length = rest.readUInt32LE(0) + FRAME_OVERHEAD_BYTES;
  if (rest.length < length) return 'torn';
  return isZero(rest.subarray(length - 1)) ? 'torn' : 'corrupt';
}

/** Payload of the record at `offset`, or undefined if there is no whole record. */
function payloadAt(data: Buffer, offset: number): Buffer | undefined {
  if (data.length < offset + FRAME_OVERHEAD_BYTES) return undefined;
  const header = data.subarray(offset, offset + HEADER_BYTES);
  if (crc32(header.subarray(0, 4)) !== header.readUInt32LE(4)) return undefined;
  const start = offset + HEADER_BYTES;
  const end = start + header.readUInt32LE(0);
  if (data.length <= end || data[end] !== CLOSING_BYTE) return undefined;
  const payload = data.subarray(start, end);
  return crc32(payload) === header.readUInt32LE(8) ? payload : undefined;
}

/** Consecutive whole records. */
interface RecordRun {
  readonly payloads: Uint8Array[];
  readonly offsets: number[];
  readonly end: number;
}

/** Reads the records from `start` up to the first one that is not whole. */
function readRun(data: Buffer, start: number): RecordRun {
  const payloads: Uint8Array[] = [];
  const offsets: number[] = [];
  let end = start;
  for (;;) {
    const payload = payloadAt(data, end);
    if (payload === undefined) return { payloads, offsets, end };
    payloads.push(payload);
    offsets.push(end);
    end += payload.length + FRAME_OVERHEAD_BYTES;
  }
}

/** Payloads of whole records anywhere in `rest`. */
function recordsIn(rest: Buffer): Uint8Array[] {
  const payloads: Uint8Array[] = [];
  for (let offset = 0; offset < rest.length; offset += 1) {
    const run = readRun(rest, offset);
    payloads.push(...run.payloads);
    if (run.payloads.length > 0) offset = run.end - 1;
  }
  return payloads;
}

/**
 * Whether a record that later ones follow is a missing or incomplete write: of the writes since the last sync, each may
 * reach the disk or not, independently of the others. Neither the first byte of a payload nor the closing byte is ever
 * zero, so a zero in place of the first of them that is missing distinguishes such a write from changed data.
 */
function isInterrupted(rest: Buffer): boolean {
  const isHeaderWhole = crc32(rest.subarray(0, 4)) === rest.readUInt32LE(4);
  const lastByte = isHeaderWhole ? rest.readUInt32LE(0) + HEADER_BYTES : HEADER_BYTES;
  return rest[lastByte] === 0;
}

/** Reads all records up to the first one that is not whole. */
export function decodeFrames(bytes: Uint8Array): Frames {
  const data = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const run = readRun(data, 0);
  const rest = data.subarray(run.end);
  const ending = classifyEnd(rest);
  if (ending !== 'corrupt' || !isInterrupted(rest)) return { ...run, ending, laterPayloads: [] };
  return { ...run, ending: 'gap', laterPayloads: recordsIn(rest) };
}
