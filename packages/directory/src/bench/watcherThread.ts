/** Some watchers in a thread of their own, and the side that starts them. */
import { once } from 'node:events';
import { performance } from 'node:perf_hooks';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import type { MessagePort } from 'node:worker_threads';
import { silentLog, silentMetrics, systemClock } from '@jasmineroute/core';
import { Peers } from '@jasmineroute/protocol';
import { DirectoryClient } from '../client/index.js';
import { machineTime } from './meter.js';

/** What a thread starts. */
export interface WatcherPlan {
  readonly prefix: string;
  readonly count: number;
  /** Addresses of control instances, by watcher; used in turn. */
  readonly controls: readonly (readonly string[])[];
  readonly role: 'entry' | 'agent';
}

/** A revision that came into force at a watcher, at a machine time in milliseconds. */
export interface InForce {
  readonly watcher: number;
  readonly revision: number;
  readonly at: number;
}

interface Report {
  readonly inForce?: InForce[];
  /** Share of time that the thread was busy since the last question. */
  readonly busy?: number;
}

/** A thread with watchers. */
export class WatcherThread {
  readonly inForce: InForce[] = [];
  private readonly worker: Worker;

  constructor(readonly plan: WatcherPlan) {
    this.worker = new Worker(new URL(import.meta.url), { workerData: plan });
    this.worker.on('message', ({ inForce }: Report) => {
      if (inForce !== undefined) this.inForce.push(...inForce);
    });
  }

  /** Share of time that the thread was busy since the last call. */
  async busy(): Promise<number> {
    this.worker.postMessage('busy');
    for (;;) {
      const [report] = (await once(this.worker, 'message')) as [Report];
      if (report.busy !== undefined) return report.busy;
    }
  }

  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}

async function startWatcher(plan: WatcherPlan, index: number, port: MessagePort): Promise<void> {
  const client = new DirectoryClient({
    name: `${plan.prefix}-${index}`,
    incarnation: 1n,
    role: plan.role,
    controls: plan.controls[index % plan.controls.length] ?? [],
    peers: new Peers(),
    clock: systemClock,
    log: silentLog,
    metrics: silentMetrics,
    wantInstances: plan.role === 'entry',
  });
  let last = -1n;
  client.onChange(({ revision }) => {
    if (revision === last) return;
    last = revision;
    const inForce = { watcher: index, revision: Number(revision), at: machineTime() };
    port.postMessage({ inForce: [inForce] } satisfies Report);
  });
  await client.start(() => ({ address: '127.0.0.1:1', dataCentre: 'here' }));
}

async function runThread(plan: WatcherPlan, port: MessagePort): Promise<void> {
  for (let index = 0; index < plan.count; index += 1) await startWatcher(plan, index, port);
  let before = performance.eventLoopUtilization();
  port.on('message', () => {
    const now = performance.eventLoopUtilization();
    port.postMessage({ busy: performance.eventLoopUtilization(now, before).utilization } satisfies Report);
    before = now;
  });
}

if (!isMainThread && parentPort !== null) await runThread(workerData as WatcherPlan, parentPort);
