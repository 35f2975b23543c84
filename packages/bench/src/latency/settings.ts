/** Settings of the measurement of the router's own cost. */
import * as z from 'zod';

/** One field for each flag. */
export const latencySettings = z.object({
  shape: z
    .enum(['trust', 'guild'])
    .default('guild')
    .describe('deployment for the added latency: trust, guild'),
  rate: z.coerce.number().positive().default(60).describe('requests a second, half of them direct'),
  durationMs: z.coerce.number().positive().default(20_000).describe('time measured for the added latency'),
  warmUpMs: z.coerce.number().nonnegative().default(5_000).describe('time before it that is not measured'),
  streams: z.coerce.number().int().positive().default(16).describe('streams at once for the cost of a chunk'),
  streamTokens: z.coerce.number().int().positive().default(1_000).describe('tokens of each of them'),
  openStreams: z.coerce.number().int().positive().default(500).describe('streams held open for the memory'),
  seed: z.coerce.number().int().default(1).describe('seed of the requests'),
  policy: z.string().default('default').describe('routing policy'),
  folder: z
    .string()
    .default('')
    .describe('where each run makes a folder for its logs; by default the temporary folder'),
  out: z.string().default('.bench/latency.json').describe('file for the figures'),
});

/** Checked settings. */
export type LatencySettings = z.output<typeof latencySettings>;
