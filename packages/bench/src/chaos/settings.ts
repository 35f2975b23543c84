/** Settings of a chaos run. */
import * as z from 'zod';

/** Kinds of things that go wrong. */
export const troubleNames = [
  'kill',
  'kill-pair',
  'reset',
  'black-hole',
  'black-hole-one-way',
  'delay',
  'partition',
  'pause',
  'rolling-stop',
] as const;

/** Name of a kind of trouble. */
export type TroubleName = (typeof troubleNames)[number];

/** One field for each flag. */
export const chaosSettings = z.object({
  minutes: z.coerce.number().positive().default(10).describe('length of the run'),
  requests: z.coerce.number().int().positive().default(100_000).describe('requests to send in that time'),
  seed: z.coerce.number().int().default(1).describe('seed of requests and troubles'),
  shape: z.enum(['trust', 'guild']).default('trust').describe('deployment: trust, guild'),
  troubles: z
    .string()
    .transform((text) => text.split(',').filter((part) => part !== ''))
    .pipe(z.array(z.enum(troubleNames)))
    .default([...troubleNames])
    .describe(`kinds of trouble, empty for none: ${troubleNames.join(', ')}`),
  pauseMs: z.coerce.number().positive().default(2_500).describe('mean time between two troubles'),
  policy: z.string().default('default').describe('routing policy'),
  giveUpMs: z.coerce.number().positive().default(30_000).describe('when a caller gives up on one try'),
  tries: z.coerce.number().int().positive().default(10).describe('tries of a caller, the resends included'),
  folder: z
    .string()
    .default('')
    .describe('where each run makes a folder for its logs; by default the temporary folder'),
  out: z.string().default('.bench/chaos.json').describe('file for the report'),
});

/** Checked settings. */
export type ChaosSettings = z.output<typeof chaosSettings>;
