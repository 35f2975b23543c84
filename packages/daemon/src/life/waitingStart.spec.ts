import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { ManagedProcess, freePort } from '@jasmineroute/testkit';
import { afterEach, expect, it } from 'vitest';

const script = fileURLToPath(new URL('../../dist/fixture/waitingControl.js', import.meta.url));

const LIMIT_MS = 20_000;

let control: ManagedProcess | undefined;

afterEach(() => control?.kill());

// Guards against a process that waits for its disk at the start, answers nothing, and looks like one that never ran.
it(
  'a process whose role is not made yet says in its readiness what it waits for',
  async () => {
    const dataFolder = mkdtempSync(join(tmpdir(), 'waiting-start-'));
    const [port, healthPort] = [await freePort(), await freePort()];
    const env = {
      JASMINEROUTE_ROLE: 'control',
      JASMINEROUTE_NAME: 'a',
      JASMINEROUTE_PORT: String(port),
      JASMINEROUTE_HEALTH_PORT: String(healthPort),
      JASMINEROUTE_DATA_FOLDER: dataFolder,
      JASMINEROUTE_REPLICAS: `a=127.0.0.1:${port}`,
    };
    control = new ManagedProcess({
      name: 'a',
      script,
      args: [],
      env,
      logFile: join(dataFolder, 'control.log'),
    });
    const started = control.start();
    const readiness = async (): Promise<unknown> => {
      const answer = await fetch(`http://127.0.0.1:${healthPort}/readyz`).catch(() => undefined);
      return answer === undefined ? undefined : [answer.status, await answer.json()];
    };
    const waiting = [503, { ready: false, reason: 'starting: the disk does not answer' }];
    await expect.poll(readiness, { timeout: LIMIT_MS }).toEqual(waiting);
    expect((await fetch(`http://127.0.0.1:${healthPort}/healthz`)).ok).toBe(true);
    control.signal('SIGUSR2');
    await started;
    await expect.poll(readiness, { timeout: LIMIT_MS }).toMatchObject([200, { ready: true }]);
  },
  3 * LIMIT_MS,
);
