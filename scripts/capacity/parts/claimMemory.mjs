// Bytes of claims in the replicated state, from the control package's own benchmark.
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

const PROGRAM = 'packages/control/dist/bench/claims.js';
const ROW = /^(open claims|settled claims|customers in a document|documents, 8 customers each| {2}snapshot)\s+(\d+)\s+(-?\d+)\s/;

/** Points `[count, bytes]` by kind of row. */
export async function measureClaimMemory() {
  const { stdout } = await promisify(execFile)(process.execPath, [PROGRAM, 'memory']);
  const points = {};
  for (const line of stdout.split('\n')) {
    const [, kind, count, bytes] = ROW.exec(line) ?? [];
    if (kind === undefined) continue;
    points[kind.trim()] ??= [];
    points[kind.trim()].push([Number(count), Number(bytes)]);
  }
  return points;
}
