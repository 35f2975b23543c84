/** Settings of the agent role. */
import { engineAdapters } from '@jasmineroute/engine';
import * as z from 'zod';

const MINUTE_MS = 60_000;

const whole = (fallback: number, description: string) =>
  z.coerce.number().int().positive().default(fallback).describe(description);

const adapterNames = engineAdapters.names().join(', ');

/** Checked settings, durations in milliseconds. */
export const agentSettings = z.object({
  service: z.string().min(1).describe('service that the target belongs to, as its document names it'),
  targetUrl: z.url({ protocol: /^http$/ }).describe('where the target listens, "http://127.0.0.1:8000"'),
  kind: z.enum(['model', 'plain']).default('model').describe('what the target is: model or plain'),
  adapter: z
    .string()
    .optional()
    .refine((name) => name === undefined || engineAdapters.find(name) !== undefined, 'no such adapter')
    .describe(`how to speak to the target: ${adapterNames}; by default http for model, plain for plain`),
  capacity: z.coerce
    .number()
    .int()
    .nonnegative()
    .default(0)
    .describe('concurrent requests at the target; 0 takes what an engine says of itself, 32 for plain'),
  queue: whole(256, 'requests that may wait at the gate, a whole number'),
  healthPath: z
    .string()
    .startsWith('/')
    .optional()
    .describe('path that a plain service answers below 500 while it can work; none: an open port is enough'),
  healthIntervalMs: whole(500, 'time between two looks at the target, milliseconds'),
  healthTimeoutMs: whole(1_000, 'longest wait for the answer of a look, milliseconds'),
  streamSilenceMs: whole(2_000, 'longest silence of an event stream of the target, milliseconds'),
  readerGraceMs: whole(5_000, 'how long an idempotent run goes on without a reader, milliseconds'),
  keepMs: whole(30_000, 'how long the events of an ended run are kept, milliseconds'),
  keepOnceMs: whole(10 * MINUTE_MS, 'the same for a run that must not be repeated, milliseconds'),
  attemptWindowMs: whole(
    20 * MINUTE_MS,
    'how long an attempt id is remembered, milliseconds; longer than any message can be on its way',
  ),
  bufferBytes: whole(128 * 1_024, 'bytes of one run that may wait for a reader'),
  settleMs: whole(10_000, 'how long a change of the targets lasts before it moves models, milliseconds'),
  indexBlocks: whole(262_144, 'cached blocks that the index holds at most'),
});

/** Settings of an agent. */
export type AgentSettings = z.output<typeof agentSettings>;
