/** Schema of saved results. */
import * as z from 'zod';
import { requestRecord } from '../load/index.js';

const quantiles = z.object({
  count: z.number(),
  p50: z.number().nullable(),
  p95: z.number().nullable(),
  p99: z.number().nullable(),
  p999: z.number().nullable(),
  max: z.number().nullable(),
});

/** Schema of a run's report. */
export const reportSchema = z.object({
  requests: z.number(),
  outcomes: z.record(z.string(), z.number()),
  refusals: z.record(z.string(), z.number()),
  firstTokenMs: quantiles,
  tokenGapMs: quantiles,
  longestGapMs: quantiles,
  goodputPerSecond: z.number().nullable(),
  hitRate: z.number().nullable(),
  oracleHitRate: z.number().nullable(),
  computedTokens: z.number(),
  leastComputedTokens: z.number(),
  recomputation: z.number().nullable(),
  redials: z.number(),
  sentLateMs: quantiles,
});

/** Schema of one run of one row. */
export const runResult = z.object({
  policy: z.string(),
  shape: z.string(),
  load: z.number(),
  fault: z.string(),
  seed: z.number(),
  /** Requests a second that were sent. */
  rate: z.number(),
  /** The whole measured time. */
  report: reportSchema,
  /** The measured time before the fault. */
  before: reportSchema,
  /** Five seconds from the fault on. */
  after: reportSchema,
  /** Prompt tokens that the engines computed, for whomever, while measured or warming up. */
  engineComputedTokens: z.number(),
  /** Load average of the machine over the last minute, at the end of the run. */
  machineLoad: z.number(),
  records: z.array(requestRecord).optional(),
});

/** One run of one row. */
export type RunResult = z.output<typeof runResult>;

/** Schema of a results file. */
export const resultsFile = z.object({
  startedAt: z.string(),
  command: z.string(),
  capacities: z.record(z.string(), z.number()),
  results: z.array(runResult),
  /** Runs that gave no figures, with the reason. */
  failures: z.array(z.string()).default([]),
});

/** A results file. */
export type ResultsFile = z.output<typeof resultsFile>;
