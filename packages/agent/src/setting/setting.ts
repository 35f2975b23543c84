/** Settings of the agent role. */
import { engineAdapters } from '@jasmineroute/engine';
import * as z from 'zod';

const MINUTE_MS = 60_000;

const whole = (fallback: number, description: string) =>
  z.coerce.number().int().positive().default(fallback).describe(description);

const adapterNames = engineAdapters.names().join(', ');

/** Validated settings; durations in milliseconds. */
export const agentSettings = z.object({
  service: z.string().min(1).describe('service of the target, as named in its document'),
  targetUrl: z.url({ protocol: /^http$/ }).describe('URL of the target, such as "http://127.0.0.1:8000"'),
  kind: z.enum(['model', 'plain']).default('model').describe('kind of target: model or plain'),
  adapter: z
    .string()
    .optional()
    .refine((name) => name === undefined || engineAdapters.find(name) !== undefined, 'unknown adapter')
    .describe(
      `adapter for the protocol of the target: ${adapterNames}; by default http for model, plain for plain`,
    ),
  capacity: z.coerce
    .number()
    .int()
    .nonnegative()
    .default(0)
    .describe('concurrent requests at the target; 0 uses the capacity reported by an engine, 32 for plain'),
  queue: whole(256, 'most requests that may wait at the gate, a whole number'),
  healthPath: z
    .string()
    .startsWith('/')
    .optional()
    .describe(
      'path that a healthy plain service answers with a status below 500; without it, an open port is enough',
    ),
  healthIntervalMs: whole(500, 'interval of health checks of the target, milliseconds'),
  healthTimeoutMs: whole(1_000, 'timeout of a health check, milliseconds'),
  streamSilenceMs: whole(2_000, 'longest time without data on an event stream of the target, milliseconds'),
  readerGraceMs: whole(5_000, 'how long an idempotent run continues without a reader, milliseconds'),
  keepMs: whole(30_000, 'how long the events of an ended run are kept, milliseconds'),
  keepOnceMs: whole(
    10 * MINUTE_MS,
    'how long the events of an ended non-idempotent run are kept, milliseconds',
  ),
  attemptWindowMs: whole(
    20 * MINUTE_MS,
    'how long an attempt id is remembered, milliseconds; longer than any message can be delayed',
  ),
  bufferBytes: whole(128 * 1_024, 'most bytes of one run that may wait for a reader'),
  settleMs: whole(
    10_000,
    'how long a change of the targets must last before models are reassigned, milliseconds',
  ),
  indexBlocks: whole(262_144, 'most cached blocks in the index'),
});

/** Settings of an agent. */
export type AgentSettings = z.output<typeof agentSettings>;
