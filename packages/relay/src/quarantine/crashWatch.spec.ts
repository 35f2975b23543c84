import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import type { Target, TargetLife } from '@jasmineroute/knowledge';
import { describe, expect, it } from 'vitest';
import { CrashWatch } from './crashWatch.js';
import { probeTarget } from './targetProbe.js';
import type { ProbeResult } from './targetProbe.js';

const target: Target = {
  id: 't1',
  name: 't1',
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'here',
  softwareVersion: 'v1',
  capacity: 1,
  weights: new Map(),
  paused: false,
};

describe('the fate of a target that broke off an answer', () => {
  let life: TargetLife = 'announced';
  let probes = 0;

  function watch(...results: ProbeResult[]): CrashWatch {
    life = 'announced';
    probes = 0;
    const probe = (): Promise<ProbeResult> => {
      probes += 1;
      return Promise.resolve(results[Math.min(probes, results.length) - 1] ?? 'accepted');
    };
    const parts = {
      targets: { lifeOf: () => life },
      clock: systemClock,
      stalls: { current: () => undefined },
      log: silentLog,
      metrics: silentMetrics,
    };
    return new CrashWatch({ ...parts, probe });
  }

  it('is known at once when its address refuses connections', async () => {
    const { first, final } = watch('refused').fateOf(target);
    expect(await first).toBe(true);
    expect(await final).toBe(true);
  });

  // Guards against a request that is held responsible for a connection that was reset on its way.
  it('is that of a live one while its address accepts connections', async () => {
    const { first, final } = watch('accepted').fateOf(target);
    expect(await first).toBe(false);
    expect(await final).toBe(false);
    expect(probes).toBe(1);
  }, 10_000);

  // Guards against a crash that goes unnoticed because the next start listens before the first probe.
  it('is that of an ended one when another start is announced in its place', async () => {
    const { first, final } = watch('accepted').fateOf(target);
    expect(await first).toBe(false);
    life = 'replaced';
    expect(await final).toBe(true);
  });

  // Guards against requests that are held responsible for a planned stop.
  it('is that of a planned stop when it had announced to leave', async () => {
    const watched = watch('refused');
    life = 'leaving';
    expect(await watched.fateOf(target).final).toBe(false);
    expect(probes).toBe(0);
  });

  it('is looked up again when nothing answered, and asked once for all its connections', async () => {
    const watched = watch('unanswered', 'refused');
    expect(await watched.fateOf(target).first).toBe(false);
    expect(await watched.fateOf(target).final).toBe(true);
    expect(probes).toBe(2);
  });

  it('is probed by a connection', async () => {
    const server = createServer((socket) => socket.destroy());
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await probeTarget(address, systemClock)).toBe('accepted');
    await new Promise((resolve) => server.close(resolve));
    expect(await probeTarget(address, systemClock)).toBe('refused');
  });
});
