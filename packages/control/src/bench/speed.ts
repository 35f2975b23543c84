/** Speed of claims over three instances in this process. */
import { delayedDisk, fileDisk } from '@jasmineroute/coordination';
import { controlMessage } from '@jasmineroute/protocol';
import { Cluster } from '../fixture/index.js';
import type { Node } from '../fixture/index.js';

const SYNC_DELAYS_MS = [0, 1, 5];
const CONCURRENCIES = [1, 16, 128];
const RUN_MS = 3_000;
const WARM_UP_MS = 500;

const quantile = (sorted: readonly number[], q: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? 0;

let count = 0;

async function claimOnce(cluster: Cluster, node: Node): Promise<void> {
  count += 1;
  const names = { service: 'desk', customer: 'lloyd', key: `k-${count}`, attemptId: `a-${count}` };
  const fingerprint = new Uint8Array(32).fill(count % 256);
  const claims = cluster.clientOf(controlMessage.Claims, node);
  const answer = await claims.claim({ ...names, fingerprint, windowMs: 60_000n, agent: 'agent-1' });
  if (answer.state !== controlMessage.ClaimState.GRANTED) throw new Error(`state ${answer.state}`);
}

/** Sends claims from concurrent callers for `ms` milliseconds. @returns the sorted latencies, milliseconds. */
async function run(cluster: Cluster, node: Node, concurrency: number, ms: number): Promise<number[]> {
  const latencies: number[] = [];
  const end = performance.now() + ms;
  const caller = async (): Promise<void> => {
    while (performance.now() < end) {
      const start = performance.now();
      await claimOnce(cluster, node);
      latencies.push(performance.now() - start);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, caller));
  return latencies.sort((a, b) => a - b);
}

async function rowsOf(delayMs: number): Promise<string[]> {
  const disk = delayMs === 0 ? fileDisk : delayedDisk(fileDisk, delayMs);
  const cluster = await Cluster.start(3, { disk });
  const [first] = cluster.nodes;
  const leader = first && (await cluster.leader(first));
  const follower = cluster.nodes.find((node) => node !== leader);
  if (leader === undefined || follower === undefined) throw new Error('no leader');
  const rows: string[] = [];
  for (const [at, node] of Object.entries({ leader, follower })) {
    for (const concurrency of CONCURRENCIES) {
      await run(cluster, node, concurrency, WARM_UP_MS);
      const before = process.cpuUsage();
      const latencies = await run(cluster, node, concurrency, RUN_MS);
      const { user, system } = process.cpuUsage(before);
      const cpu = ((user + system) / latencies.length).toFixed(0).padStart(9);
      const rate = latencies.length / (RUN_MS / 1_000);
      const times = [0.5, 0.99].map((q) => quantile(latencies, q).toFixed(2).padStart(9));
      const place = `${String(delayMs).padStart(7)}  ${at.padEnd(9)}${String(concurrency).padStart(8)}`;
      rows.push(`${place}${rate.toFixed(0).padStart(11)}${times.join('')}${cpu}`);
    }
  }
  await cluster.stop();
  return rows;
}

/** Measures the speed. @returns the rows of the report. */
export async function measureSpeed(): Promise<string[]> {
  const rows = ['sync ms  asked at   callers   claims/s   p50 ms   p99 ms   CPU µs'];
  for (const delayMs of SYNC_DELAYS_MS) rows.push(...(await rowsOf(delayMs)));
  return rows;
}
