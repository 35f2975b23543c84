/** Settings of the plain service stand-in. */
import * as z from 'zod';

/** One field for each flag. */
export const plainSettings = z.object({
  name: z.string().min(1).default('plain').describe('name in reports'),
  port: z.coerce.number().int().min(0).max(65_535).default(0).describe('port on 127.0.0.1, 0 for a free one'),
  latencyMs: z.coerce.number().nonnegative().default(20).describe('time of each call'),
  capacity: z.coerce.number().int().positive().default(64).describe('calls that run at once'),
  executions: z.string().default('').describe('file to which each execution is appended'),
});

/** Checked settings. */
export type PlainSettings = z.output<typeof plainSettings>;
