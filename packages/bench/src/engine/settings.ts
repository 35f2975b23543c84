/** Settings of the engine stand-in. */
import * as z from 'zod';

const flag = z.enum(['true', 'false']).transform((text) => text === 'true');

/** "name@version" pairs, separated by commas. */
const versioned = z
  .string()
  .regex(/^(?:[^@,]+@[^@,]+(?:,[^@,]+@[^@,]+)*)?$/, 'name@version, separated by commas')
  .transform((text) =>
    text
      .split(',')
      .filter((part) => part !== '')
      .map((part) => {
        const [name = '', version = ''] = part.split('@');
        return { name, version };
      }),
  );

/** One field for each flag; text in, checked values out. */
export const engineSettings = z.object({
  name: z.string().min(1).default('engine').describe('name in reports'),
  port: z.coerce.number().int().min(0).max(65_535).default(0).describe('port on 127.0.0.1, 0 for a free one'),
  seed: z.coerce.number().int().default(1).describe('seed of event loss and incarnation'),
  models: versioned.default([{ name: 'base', version: '1' }]).describe('loaded at start, name@version,…'),
  adapters: versioned.default([]).describe('loaded at start, model:adapter@version,…'),
  prefillRate: z.coerce.number().positive().default(8_000).describe('prompt tokens a second'),
  chunkTokens: z.coerce.number().int().positive().default(256).describe('prompt tokens a step at most'),
  stepMs: z.coerce.number().positive().default(20).describe('milliseconds of a decode step'),
  slots: z.coerce.number().int().positive().default(16).describe('requests that run at once'),
  queue: z.coerce.number().int().positive().default(1_024).describe('requests that may wait'),
  cacheBlocks: z.coerce.number().int().positive().default(2_000).describe('blocks of 16 tokens in the cache'),
  slowFactor: z.coerce.number().positive().default(1).describe('multiplies the time of each step'),
  eventDelayMs: z.coerce.number().nonnegative().default(50).describe('lateness of cache events'),
  eventLoss: z.coerce.number().min(0).max(1).default(0).describe('share of cache events that is lost'),
  loadLagMs: z.coerce.number().nonnegative().default(250).describe('age of the reported load at most'),
  checkFence: flag.default(true).describe('refuse orders with an old fencing number: true, false'),
  loadMs: z.coerce.number().nonnegative().default(500).describe('time of a load without a weight store'),
  weightStore: z.string().default('').describe('URL of a weight store stand-in'),
  kvStore: z.string().default('').describe('URL of a KV store stand-in that gets every stored block'),
  kvBlockMs: z.coerce.number().nonnegative().default(0.25).describe('time to export or import one block'),
  resumeMs: z.coerce.number().positive().default(5_000).describe('how long work goes on without a reader'),
  keepMs: z.coerce.number().positive().default(30_000).describe('how long an ended stream can be read'),
  executions: z.string().default('').describe('file to which each execution is appended'),
});

/** Checked settings. */
export type EngineSettings = z.output<typeof engineSettings>;

/** Cost model that faults may change while the stand-in runs. */
export interface Tuning {
  prefillRate: number;
  chunkTokens: number;
  stepMs: number;
  slowFactor: number;
  eventDelayMs: number;
  eventLoss: number;
  checkFence: boolean;
}

/** The part of the settings that may change at runtime. */
export function tuningOf(settings: EngineSettings): Tuning {
  const { prefillRate, chunkTokens, stepMs, slowFactor, eventDelayMs, eventLoss, checkFence } = settings;
  return { prefillRate, chunkTokens, stepMs, slowFactor, eventDelayMs, eventLoss, checkFence };
}
