// Bytes of claims and customers in the replicated state of a control instance.
import { WorkerProcess } from '../workerProcess.mjs';

const CLAIMS = [1_000, 10_000, 50_000, 200_000];
const CUSTOMERS = [19, 190, 950, 1_900];

/** Points `[count, bytes]` of open and settled claims, their snapshot, and customers. */
export async function measureClaimMemory() {
  const points = { open: [], settled: [], snapshot: [], customers: [] };
  const worker = new WorkerProcess('claimMemoryWorker');
  // Once without counting: the first run also compiles.
  await worker.ask('claims', { count: CLAIMS[0] });
  for (const count of CLAIMS) {
    const bytes = await worker.ask('claims', { count });
    for (const kind of ['open', 'settled', 'snapshot']) points[kind].push([count, bytes[kind]]);
  }
  await worker.ask('customers', { count: CUSTOMERS[0] });
  for (const count of CUSTOMERS) points.customers.push([count, await worker.ask('customers', { count })]);
  await worker.stop();
  return points;
}
