import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';
import { waitFor } from '../wait/index.js';
import { ProcessorShares } from './processorShare.js';
import type { SharedProcess } from './processorShare.js';

/** Uses 200 ms of processor time, says so, and does nothing more, or goes on. */
const IDLE = `
  while (process.cpuUsage().user < 200_000);
  process.stdout.write('.');
  setInterval(() => undefined, 60_000);
`;
const BUSY = `process.stdout.write('.'); for (;;);`;

/** A process that tells when it is to be paused, and is not. */
class Watched implements SharedProcess {
  readonly name = 'watched';
  readonly running = true;
  pauses = 0;

  constructor(readonly pid: number) {}

  pause(): void {
    this.pauses += 1;
  }

  resume(): void {
    // It was not paused.
  }
}

describe('shares of processors', () => {
  const ends: (() => void)[] = [];

  afterEach(() => {
    for (const end of ends.splice(0)) end();
  });

  async function begin(script: string): Promise<Watched> {
    const child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'inherit'] });
    ends.push(() => child.kill('SIGKILL'));
    await once(child.stdout, 'data');
    return new Watched(child.pid ?? 0);
  }

  function hold(processes: readonly Watched[]): void {
    const shares = new ProcessorShares(() => 0.2);
    ends.push(() => {
      shares.stop();
    });
    shares.start(() => processes);
  }

  // Guards against an installation that stands still for seconds when its shares begin, for what its start has used.
  it('do not pause a process for what it used before they began', async () => {
    const [idle, busy] = [await begin(IDLE), await begin(BUSY)];
    hold([idle, busy]);
    await waitFor('the busy process to be paused', () => busy.pauses > 0);
    expect(idle.pauses).toBe(0);
  });

  // Guards against processes that start again at full speed.
  it('pause a process that starts later for what its start has used', async () => {
    const processes: Watched[] = [];
    hold(processes);
    const idle = await begin(IDLE);
    processes.push(idle);
    await waitFor('the new process to be paused', () => idle.pauses > 0);
  });
});
