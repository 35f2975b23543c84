/** Added latency: the same kind of request, by turns through an entry and straight to an engine. */
import { join } from 'node:path';
import { systemClock } from '@jasmineroute/core';
import { Cluster } from '@jasmineroute/testkit';
import { controlsOf, entriesOf, modelDocument, modelTargets, shapes } from '../deployment/index.js';
import { createDispatcher, quantiles, send } from '../load/index.js';
import type { Quantiles, RequestRecord } from '../load/index.js';
import { defaultWorkload, planWorkload } from '../workload/index.js';
import type { LatencySettings } from './settings.js';

/** Time to first token of both ways. */
export interface AddedLatency {
  readonly direct: Quantiles;
  readonly routed: Quantiles;
  /** Difference of the quantiles, milliseconds. */
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly incomplete: number;
}

/** Engines so quick that their own queues hide nothing. */
const QUICK_ENGINE = ['--prefill-rate', '2000000', '--step-ms', '2', '--slots', '64'];

interface Sample {
  readonly routed: boolean;
  readonly record: RequestRecord;
}

async function driveBoth(cluster: Cluster, settings: LatencySettings): Promise<Sample[]> {
  const { shape, rate, durationMs, warmUpMs, seed } = settings;
  const plan = planWorkload(shapes[shape], {
    ...defaultWorkload,
    seed,
    rate,
    durationMs: durationMs + warmUpMs,
  });
  const engines = cluster.role('engine').map((engine) => engine.url);
  const entries = cluster.entryUrls;
  const clock = systemClock;
  const dispatcher = createDispatcher();
  const start = clock.monotonic();
  const samples: Promise<Sample>[] = [];
  for (const [index, planned] of plan.entries()) {
    const arrival = start + planned.atMs;
    if (arrival > clock.monotonic()) await clock.sleep(arrival - clock.monotonic());
    const routed = index % 2 === 0;
    const urls = routed ? entries : engines;
    const url = urls[Math.floor(index / 2) % urls.length] ?? '';
    const options = { url: () => url, dispatcher, clock, redialMs: 0, giveUpMs: 30_000 };
    // From the moment of sending: a late timer of this process is no latency of the router.
    samples.push(send(planned, clock.monotonic(), options).then((record) => ({ routed, record })));
  }
  const done = await Promise.all(samples);
  await dispatcher.destroy();
  return done.filter(({ record }) => record.atMs >= warmUpMs);
}

/** Measures it. */
export async function measureAdded(settings: LatencySettings, folder: string): Promise<AddedLatency> {
  const shape = shapes[settings.shape];
  const cluster = await Cluster.start({
    folder: join(folder, 'added'),
    controls: controlsOf(shape),
    entries: entriesOf(shape),
    targets: modelTargets(shape, QUICK_ENGINE),
    documents: [modelDocument(shape, { policy: settings.policy, nonIdempotentCustomers: [] })],
    links: 'direct',
    logLevel: 'warn',
  });
  try {
    const samples = await driveBoth(cluster, settings);
    const times = (routed: boolean): Quantiles =>
      quantiles(
        samples
          .filter((sample) => sample.routed === routed)
          .map(({ record }) => record.firstTokenMs)
          .filter((value) => value !== undefined),
      );
    const [direct, routed] = [times(false), times(true)];
    return {
      direct,
      routed,
      addedP50Ms: Number((routed.p50 - direct.p50).toFixed(1)),
      addedP99Ms: Number((routed.p99 - direct.p99).toFixed(1)),
      incomplete: samples.filter(({ record }) => record.outcome !== 'complete').length,
    };
  } finally {
    await cluster.stop(0);
  }
}
