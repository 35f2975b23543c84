/** Rows of the benchmark's table. */
import { percentile } from './meter.js';

/** One row of the table. */
export interface Measure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

/** Rows with the percentiles and the number of samples in milliseconds. */
export function percentileRows(name: string, samples: readonly number[]): Measure[] {
  return [
    { name: `${name}, p50`, value: percentile(samples, 0.5), unit: 'ms' },
    { name: `${name}, p99`, value: percentile(samples, 0.99), unit: 'ms' },
    { name: `${name}, samples`, value: samples.length, unit: '' },
  ];
}
