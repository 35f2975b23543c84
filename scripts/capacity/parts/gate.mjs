// Processor time and memory of an agent's gate against chunks and streams, from the agent package's own benchmark.
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

const PROGRAM = 'packages/agent/dist/bench/stream.js';
const SECONDS = '3';
const STREAMS = '10,100,400,1000';

/** One point for each number of open streams. */
export async function measureGate() {
  const { stdout } = await promisify(execFile)(process.execPath, [PROGRAM, SECONDS, STREAMS, '256']);
  const rows = stdout
    .split('\n')
    .filter((line) => line.startsWith('{'))
    .map((line) => JSON.parse(line));
  // The last row is that of the sizes of chunks, which are not asked for here.
  return rows.slice(0, STREAMS.split(',').length);
}
