/** Lines of the benchmark's table. */
import { percentile } from './meter.js';

/** One line of the table. */
export interface Measure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** The lines for samples in milliseconds. */
export function settled(name: string, samples: readonly number[]): Measure[] {
  return [
    { name: `${name}, p50`, value: percentile(samples, 0.5), unit: 'ms' },
    { name: `${name}, p99`, value: percentile(samples, 0.99), unit: 'ms' },
    { name: `${name}, samples`, value: samples.length, unit: '' },
  ];
}
