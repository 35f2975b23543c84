/** All rows of an experiment; policies are interleaved, so that a slow minute of the machine hits all alike. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { shapes } from '../deployment/index.js';
import type { ShapeName } from '../deployment/index.js';
import { defaultWorkload } from '../workload/index.js';
import { capacityOf } from './capacity.js';
import type { ResultsFile, RunResult } from './result.js';
import { runOnce } from './run.js';
import type { RunSpec } from './run.js';
import type { ExperimentSettings, FaultName } from './settings.js';

/** Requests a second that count as 100, by shape. */
export function capacitiesOf(settings: ExperimentSettings): Record<string, number> {
  const capacity = (shape: ShapeName): number =>
    settings.capacity > 0 ? settings.capacity : capacityOf(shapes[shape], defaultWorkload, settings);
  return Object.fromEntries(settings.shapes.map((shape) => [shape, capacity(shape as ShapeName)]));
}

/** Every run, in the order in which they are made. */
export function specsOf(
  settings: ExperimentSettings,
  capacities: Readonly<Record<string, number>>,
): RunSpec[] {
  const specs: RunSpec[] = [];
  for (let repeat = 0; repeat < settings.repeats; repeat += 1) {
    for (const shape of settings.shapes as ShapeName[]) {
      const capacity = capacities[shape] ?? 0;
      for (const load of settings.loads) {
        for (const fault of settings.faults as FaultName[]) {
          for (const policy of settings.policies) {
            const rate = (capacity * load) / 100;
            specs.push({ policy, shape, load, fault, seed: settings.seed + repeat, rate });
          }
        }
      }
    }
  }
  return specs;
}

/** Runs the experiment, saving after each run. `progress` is told of each. */
export async function runExperiment(
  settings: ExperimentSettings,
  command: string,
  progress: (result: RunResult, done: number, total: number) => void,
): Promise<ResultsFile> {
  const capacities = capacitiesOf(settings);
  const specs = specsOf(settings, capacities);
  const results: RunResult[] = [];
  const file: ResultsFile = {
    startedAt: new Date().toISOString(),
    command,
    capacities,
    results,
    failures: [],
  };
  mkdirSync(dirname(settings.out), { recursive: true });
  for (const spec of specs) {
    try {
      const result = await runOnce(spec, settings);
      results.push(result);
      progress(result, results.length, specs.length);
    } catch (error) {
      // One cluster that does not come up must not cost the rows that follow; the file says so.
      file.failures.push(`${JSON.stringify(spec)}: ${String(error)}`);
    }
    writeFileSync(settings.out, JSON.stringify(file, null, 1));
  }
  return file;
}
