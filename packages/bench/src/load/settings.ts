/** Settings of a load run against entries, or against one engine, that run already. */
import * as z from 'zod';

const numbers = z
  .string()
  .regex(/^(?:\d+(?:,\d+)*)?$/, 'whole numbers, separated by commas')
  .transform((text) =>
    text
      .split(',')
      .filter((part) => part !== '')
      .map(Number),
  );

/** One field for each flag. */
export const loadSettings = z.object({
  urls: z
    .string()
    .transform((text) => text.split(','))
    .pipe(z.array(z.url()).min(1))
    .describe('URLs of entries, separated by commas'),
  shape: z.enum(['trust', 'guild']).default('trust').describe('whose customers and prefixes: trust, guild'),
  rate: z.coerce.number().positive().default(20).describe('requests a second'),
  durationMs: z.coerce.number().positive().default(15_000).describe('length of the run'),
  warmUpMs: z.coerce.number().nonnegative().default(0).describe('time at the start that is not measured'),
  seed: z.coerce.number().int().default(1).describe('seed of arrivals and prompts'),
  shiftsAtMs: numbers.default([]).describe('times at which other prefixes become hot'),
  outputTokens: z.coerce.number().int().positive().default(16).describe('tokens of each answer'),
  streamShare: z.coerce.number().min(0).max(1).default(1).describe('share of requests that stream'),
  deadlineMs: z.coerce.number().int().positive().default(20_000).describe('deadline that callers state'),
  cacheBlocks: z.coerce
    .number()
    .int()
    .positive()
    .default(12_000)
    .describe('blocks of all engines, for the oracle'),
  out: z.string().default('').describe('file for the report and all records, JSON'),
});

/** Checked settings. */
export type LoadSettings = z.output<typeof loadSettings>;
