/** What became of one request, as its caller saw it. */
import * as z from 'zod';

/**
 * complete: whole, in order, its own. refused: an error answer. failed: an explicit error inside the stream.
 * cut: ended properly though not whole. broken: the connection broke, as the caller noticed. disordered: own tokens, but missing or repeated ones.
 * crossed: another request's answer. unreachable: no entry took the connection. late: no end in time.
 */
export const outcomes = [
  'complete',
  'refused',
  'failed',
  'cut',
  'broken',
  'disordered',
  'crossed',
  'unreachable',
  'late',
] as const;

/** Name of an outcome. */
export type OutcomeName = (typeof outcomes)[number];

/** Schema of a record, as saved. Times in milliseconds from the intended arrival. */
export const requestRecord = z.object({
  id: z.string(),
  customer: z.string(),
  /** Intended arrival from the start of the run. */
  atMs: z.number(),
  outcome: z.enum(outcomes),
  status: z.number(),
  code: z.string().default(''),
  /** What the answer said about the run. */
  run: z.string().default(''),
  detail: z.string().default(''),
  /** How long after the intended arrival this process got round to sending: the bench's own delay. */
  sentLateMs: z.number().default(0),
  firstTokenMs: z.number().optional(),
  totalMs: z.number(),
  /** Mean time between two tokens. */
  tokenGapMs: z.number().optional(),
  longestGapMs: z.number().optional(),
  outputTokens: z.number().default(0),
  promptTokens: z.number().optional(),
  cachedTokens: z.number().optional(),
  /** Times a connection was refused before one was taken. */
  redials: z.number().default(0),
});

/** One request's record. */
export type RequestRecord = z.output<typeof requestRecord>;
