/** A chaos run: a proxied cluster, callers, troubles, and the reckoning. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { systemClock } from '@jasmineroute/core';
import { Cluster } from '@jasmineroute/testkit';
import { Balancer } from '../balancer/index.js';
import {
  controlsOf,
  entriesOf,
  modelDocument,
  modelTargets,
  plainDocument,
  plainTargets,
  shapes,
} from '../deployment/index.js';
import { readExecutions } from '../engine/index.js';
import { freshFolder } from '../folder/index.js';
import { createDispatcher } from '../load/index.js';
import { Random } from '../random/index.js';
import { fulfil } from './caller.js';
import type { CallerContext, WishRecord } from './caller.js';
import { onceCustomers, planWishes } from './plan.js';
import type { Wish } from './plan.js';
import { chaosReport } from './report.js';
import type { ChaosReport } from './report.js';
import type { ChaosSettings } from './settings.js';
import { makeTrouble } from './trouble.js';
import { countExecutions, findViolations } from './verdict.js';

const MINUTE_MS = 60_000;
/** Quiet time at the end, so that what was in trouble can finish. */
const CALM_MS = 3_000;
/** Longer than callers' balancer takes to notice, also on a busy machine. */
const DRAIN_DELAY_MS = 3_000;
/** Troubles come together, too. */
const TROUBLES_AT_ONCE = 2;
const STAND_IN_ARGS = ['--step-ms', '10', '--prefill-rate', '20000'];

function startCluster(settings: ChaosSettings, folder: string): Promise<Cluster> {
  const shape = shapes[settings.shape];
  return Cluster.start({
    folder,
    controls: controlsOf(shape),
    entries: entriesOf(shape).map((entry) => ({
      ...entry,
      args: ['--drain-delay-ms', String(DRAIN_DELAY_MS)],
    })),
    targets: [...modelTargets(shape, STAND_IN_ARGS), ...plainTargets(shape)],
    documents: [
      modelDocument(shape, { policy: settings.policy, nonIdempotentCustomers: onceCustomers(shape) }),
      plainDocument(shape),
    ],
    links: 'proxied',
    logLevel: 'info',
  });
}

async function callAll(wishes: readonly Wish[], context: CallerContext): Promise<WishRecord[]> {
  const running: Promise<WishRecord>[] = [];
  for (const wish of wishes) {
    const { atMs } = wish.kind === 'model' ? wish.request : wish.call;
    const wait = context.start + atMs - systemClock.monotonic();
    if (wait > 0) await systemClock.sleep(wait);
    running.push(fulfil(wish, context));
  }
  return Promise.all(running);
}

const executionsOf = (cluster: Cluster): ReturnType<typeof readExecutions> =>
  [...cluster.role('engine'), ...cluster.role('plain')].flatMap(({ name }) =>
    readExecutions(join(cluster.options.folder, `${name}.executions`)),
  );

/** Runs it and saves the report. */
export async function runChaos(settings: ChaosSettings): Promise<ChaosReport> {
  const folder = freshFolder(settings.folder, 'jasminechaos');
  const durationMs = settings.minutes * MINUTE_MS;
  const wishes = planWishes(shapes[settings.shape], settings.seed, settings.requests, durationMs);
  const cluster = await startCluster(settings, folder);
  const balancer = new Balancer(cluster.role('entry'));
  const dispatcher = createDispatcher();
  balancer.start();
  try {
    const start = systemClock.monotonic();
    const { giveUpMs, tries } = settings;
    const context = { balancer, dispatcher, giveUpMs, tries, start };
    const busy = new Set<string>();
    const makers = Array.from({ length: TROUBLES_AT_ONCE }, (_, index) => {
      const scene = { cluster, random: new Random(settings.seed * TROUBLES_AT_ONCE + index), busy };
      return makeTrouble(scene, settings.troubles, settings.pauseMs, start, durationMs - CALM_MS);
    });
    const [records, made] = await Promise.all([callAll(wishes, context), Promise.all(makers)]);
    const troubles = made.flat().sort((a, b) => a.fromMs - b.fromMs);
    const counts = countExecutions(executionsOf(cluster));
    const violations = findViolations(records, counts, troubles);
    const report = chaosReport(settings, records, counts, troubles, violations);
    mkdirSync(dirname(settings.out), { recursive: true });
    writeFileSync(settings.out, JSON.stringify({ settings, folder, report, troubles }, null, 1));
    return report;
  } finally {
    balancer.stop();
    await dispatcher.destroy();
    await cluster.stop(0);
  }
}
