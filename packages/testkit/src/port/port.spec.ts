import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { freePort, freePorts } from './port.js';

const BUILT = new URL('../../dist/port/index.js', import.meta.url).href;
/** Where both processes look first, as a share of the range. */
const SAME_DRAW = 0.4321;

/** Draws a port as another test process does, prints it and lives until it is ended. */
const OTHER_PROCESS = `
  Math.random = () => ${SAME_DRAW};
  const { freePort } = await import('${BUILT}');
  console.log(await freePort());
  setInterval(() => {}, 1_000);
`;

describe('freePort', () => {
  afterEach(() => {
    vi.restoreAllMocks();
  });

  it('gives ports that follow each other, each once', async () => {
    const draws = [0.7, 0.7, 0.1];
    const random = vi.spyOn(Math, 'random').mockImplementation(() => draws.shift() ?? 0.2);
    const first = await freePorts(3);
    const second = await freePorts(3);
    expect(random).toHaveBeenCalledTimes(3);
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
      const [line] = (await once(createInterface({ input: other.stdout }), 'line')) as [string];
      vi.spyOn(Math, 'random').mockReturnValueOnce(SAME_DRAW);
      const own = await freePort();
      expect(Number(line)).toBeGreaterThan(0);
      expect(own).not.toBe(Number(line));
    } finally {
      const ended = once(other, 'exit');
      other.kill('SIGKILL');
      await ended;
    }
  });
});
