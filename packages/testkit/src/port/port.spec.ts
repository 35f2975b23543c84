import { spawn } from 'node:child_process';
import type { ChildProcessByStdio } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { freePort, freePorts } from './port.js';

const BUILT = new URL('../../dist/port/index.js', import.meta.url).href;
/** Steps between the draws of both processes, as shares of the range: the first of them may be in use by other tests. */
const STEP = 0.0137;

/** Where the other process begins to draw, as a share of the range. */
const OTHERS_PLACE = 0.4321;

/** Draws a port as another test process does, prints it and lives until it is ended. */
const OTHER_PROCESS = `
  let draws = 0;
  Math.random = () => (${OTHERS_PLACE} + ${STEP} * draws++) % 1;
  const { freePort } = await import('${BUILT}');
  console.log(await freePort());
  setInterval(() => {}, 1_000);
`;

/** Makes this process draw from a place in the range on; by default as the other one does. */
function drawFrom(place = OTHERS_PLACE): void {
  let draws = 0;
  vi.spyOn(Math, 'random').mockImplementation(() => (place + STEP * draws++) % 1);
}

/** The first line that a process prints. @throws Error when it ends without one. */
async function firstLine(process: ChildProcessByStdio<null, Readable, null>): Promise<string> {
  const ended = once(process, 'exit').then(() => {
    throw new Error('it ended without a word');
  });
  const line = once(createInterface({ input: process.stdout }), 'line');
  const [text] = (await Promise.race([line, ended])) as [string];
  ended.catch(() => undefined);
  return text;
}

describe('freePort', () => {
  afterEach(() => {
    vi.restoreAllMocks();
  });

  it('gives ports that follow each other, each once', async () => {
    drawFrom(0.1);
    const first = await freePorts(3);
    drawFrom(0.1);
    const second = await freePorts(3);
    expect(Math.abs(second - first)).toBeGreaterThanOrEqual(3);
  });

  it('gives no port that another process was given and does not listen on yet', async () => {
    // Symptom: a process of a test ends with code 1 before it is ready, in one of many runs of all tests.
    // Sequence: a test process draws a port and starts what is to listen there some seconds later; until then
    // another test process draws the same port, finds nobody listening, and is the first to listen.
    // Cause: a port that was given out was known to one process only.
    // Proved by: two processes that draw alike were given one port.
    const other = spawn(process.execPath, ['--input-type=module', '--eval', OTHER_PROCESS], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    try {
      const given = Number(await firstLine(other));
      drawFrom();
      expect(given).toBeGreaterThan(0);
      expect(await freePort()).not.toBe(given);
    } finally {
      const ended = once(other, 'exit');
      other.kill('SIGKILL');
      await ended;
    }
  });
});
