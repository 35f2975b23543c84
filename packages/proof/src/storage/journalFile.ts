/** Damage to the newest journal segment of a stopped control instance. */
import { appendFile, readFile, readdir, stat, truncate, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Folder of the replicated log inside an instance's data folder. */
const LOG_FOLDER = 'control';
const SEGMENT_PREFIX = 'journal-';

/** More than a record's header, less than the shortest record of a document. */
const TORN_BYTES = 40;

/** Bytes of a record beyond its payload, whose length comes first. */
const FRAME_OVERHEAD_BYTES = 13;

/** Path of the newest segment. @throws Error when there is none. */
async function newestSegment(dataFolder: string): Promise<string> {
  const folder = join(dataFolder, LOG_FOLDER);
  const name = (await readdir(folder))
    .filter((one) => one.startsWith(SEGMENT_PREFIX))
    .sort()
    .at(-1);
  if (name === undefined) throw new Error(`no journal in ${folder}`);
  return join(folder, name);
}

/** Leaves the beginning of one more record behind the last whole one. */
export async function beginRecord(dataFolder: string): Promise<void> {
  const path = await newestSegment(dataFolder);
  const bytes = await readFile(path);
  await appendFile(path, bytes.subarray(0, TORN_BYTES));
}

/** Leaves zeros in the place of a write that is missing, and a whole record of a later one behind them. */
export async function loseWrite(dataFolder: string): Promise<void> {
  const path = await newestSegment(dataFolder);
  const bytes = await readFile(path);
  const length = bytes.readUInt32LE(0) + FRAME_OVERHEAD_BYTES;
  await appendFile(path, Buffer.concat([Buffer.alloc(TORN_BYTES), bytes.subarray(0, length)]));
}

/** Cuts the last bytes off, in the middle of the last record. */
export async function cutTail(dataFolder: string): Promise<void> {
  const path = await newestSegment(dataFolder);
  const { size } = await stat(path);
  await truncate(path, size - 5);
}

/** Flips one bit half-way through the file. */
export async function flipBit(dataFolder: string): Promise<void> {
  const path = await newestSegment(dataFolder);
  const bytes = await readFile(path);
  const middle = Math.floor(bytes.length / 2);
  bytes.writeUInt8(bytes.readUInt8(middle) ^ 1, middle);
  await writeFile(path, bytes);
}
