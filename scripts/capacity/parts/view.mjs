// Memory of an entry's view against targets, customers and documents.
import { WorkerProcess } from '../workerProcess.mjs';

const SIZES = {
  targets: [10, 100, 1_000, 4_900],
  customers: [19, 190, 950, 1_900],
  documents: [5, 25, 100, 500],
};

/** Points of live bytes by kind. */
export async function measureView() {
  const points = {};
  for (const [kind, sizes] of Object.entries(SIZES)) {
    const worker = new WorkerProcess('viewWorker');
    points[kind] = [];
    for (const count of sizes) points[kind].push([count, await worker.ask('held', { kind, count })]);
    await worker.stop();
  }
  return points;
}
