import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { ManagedProcess, freePort } from '@jasmineroute/testkit';
import { describe, expect, it } from 'vitest';

const script = fileURLToPath(new URL('../../dist/fixture/failingControl.js', import.meta.url));

/** Time in which a process without its replica ends, milliseconds. */
const ENDS_WITHIN_MS = 2_000;

describe('a control process of which the replica fails', () => {
  // The process goes on without its replica, answers, looks well, and its vote is missing for good.
  it('ends, says why, and votes again once it is started', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'failed-task-'));
    const port = await freePort();
    const logFile = join(folder, 'control.log');
    const env = {
      JASMINEROUTE_ROLE: 'control',
      JASMINEROUTE_NAME: 'a',
      JASMINEROUTE_PORT: String(port),
      JASMINEROUTE_DATA_FOLDER: folder,
      JASMINEROUTE_REPLICAS: `a=127.0.0.1:${port}`,
    };
    const control = await ManagedProcess.start({ name: 'a', script, args: [], env, logFile });
    const isReady = async (): Promise<boolean> => (await fetch(`http://${control.ready.http}/readyz`)).ok;
    await expect.poll(isReady, { timeout: 10_000 }).toBe(true);
    control.signal('SIGUSR2');
    const late = new Promise((resolve) => setTimeout(resolve, ENDS_WITHIN_MS, 'still runs'));
    expect(await Promise.race([control.exit, late])).toEqual({ code: 1, signal: null });
    expect(readFileSync(logFile, 'utf8')).toContain('the task \\"replica\\" failed');
    await control.start();
    await expect.poll(isReady, { timeout: 10_000 }).toBe(true);
    expect(await control.stop()).toEqual({ code: 0, signal: null });
  });
});
