/** The parts that documents of model services and of plain services share. */
import * as z from 'zod';
import { duration, keyHash, name, pathPattern } from './primitive.js';

const KIB = 1_024;
const MIB = KIB * KIB;
const HOUR_MS = 3_600_000;

/** Keys are kept no longer than this by control. */
const MAX_WINDOW_MS = 30 * 24 * HOUR_MS;

/** While a request runs its key is kept for a day at least: a longer request could be run a second time. */
const MAX_DEADLINE_MS = 24 * HOUR_MS;

const deadline = duration.refine((ms) => ms <= MAX_DEADLINE_MS, 'must be at most 24h');

export const owner = z
  .strictObject({
    team: name.describe('Team that owns the service.'),
    operators: z
      .record(name, keyHash)
      .refine((keys) => Object.keys(keys).length > 0, 'must name at least one operator')
      .describe("Hashes of the keys of the team's operators, by operator. Only they may apply the document."),
  })
  .describe('Who may change the document.');

const customerLimits = z
  .strictObject({
    requestsPerSecond: z
      .number()
      .positive()
      .optional()
      .describe('Requests a second on average, over all entries together. No limit when absent.'),
    burst: z
      .number()
      .int()
      .positive()
      .optional()
      .describe('Requests that may come at once. One second of the rate when absent.'),
    concurrency: z
      .number()
      .int()
      .positive()
      .optional()
      .describe('Requests that may run at once, over all entries together. No limit when absent.'),
  })
  .prefault({})
  .describe('Limits of the customer. What goes over them is refused with 429, and has not run.');

export const customer = z.strictObject({
  name: name.describe('Name of the customer. Cached prompt work is never shared between customers.'),
  keys: z
    .array(keyHash)
    .min(1, 'must hold at least one key')
    .describe("Hashes of the customer's bearer keys. Two at a time let a key be replaced."),
  priority: name.default('normal').describe('Name of a class under `priorities`.'),
  share: z
    .number()
    .positive()
    .max(1_000)
    .default(1)
    .describe('Weight among customers of the same priority while requests wait.'),
  limits: customerLimits,
});

const priority = z.strictObject({
  name: name.describe('Name that customers refer to.'),
  level: z.number().int().min(0).max(100).describe('Larger runs first, at entries and in engines.'),
});

/** Calls that may not be repeated. */
export const nonIdempotentRule = z
  .strictObject({
    methods: z
      .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']))
      .min(1)
      .optional()
      .describe('HTTP methods. All when absent.'),
    path: pathPattern
      .optional()
      .describe('Path, with `*` for one segment and a last `**` for the rest. All when absent.'),
    models: z
      .array(z.string().min(1))
      .min(1)
      .optional()
      .describe('Models, as `name` (with all its adapters) or `name:adapter`. All when absent.'),
    customers: z.array(name).min(1).optional().describe('Customers. All when absent.'),
  })
  .describe('A call that matches every field of a rule may not be repeated.');

const deadlines = z
  .strictObject({
    default: deadline.prefault('60s').describe('Deadline of requests that state none.'),
    max: deadline
      .prefault('10m')
      .describe('Longest deadline that a request gets, whatever it states; at most 24h.'),
  })
  .prefault({})
  .describe('How long callers wait.');

const limits = z
  .strictObject({
    bodyBytes: z
      .number()
      .int()
      .positive()
      .max(64 * MIB)
      .default(4 * MIB)
      .describe('Largest request body, in bytes. Larger ones are refused with 413.'),
    queue: z
      .number()
      .int()
      .nonnegative()
      .max(100_000)
      .default(256)
      .describe('Requests that may wait at one entry. More are refused with 503, and have not run.'),
  })
  .prefault({})
  .describe('Limits of the service.');

const claims = z
  .strictObject({
    window: duration
      .refine((ms) => ms <= MAX_WINDOW_MS, 'must be at most 30d')
      .prefault('24h')
      .describe('How long an `Idempotency-Key` stays known after its request has ended, at most 30d.'),
    answerBytes: z
      .number()
      .int()
      .nonnegative()
      .max(MIB)
      .default(64 * KIB)
      .describe('Largest answer that is kept for a resend, in bytes.'),
  })
  .prefault({})
  .describe('What is remembered of requests that may run only once.');

/** Fields of every service that is routed. */
export const shared = {
  service: name.describe('Name of the service; there is one document for each.'),
  owner,
  customers: z.array(customer).default([]).describe('Who may call the service.'),
  priorities: z
    .array(priority)
    .min(1)
    .default([{ name: 'normal', level: 50 }])
    .describe('Classes of requests.'),
  nonIdempotent: z
    .array(nonIdempotentRule)
    .default([])
    .describe(
      'Calls that may not be repeated: they run at most once, are never sent to a second target once they ' +
        'may have run, and an `Idempotency-Key` lets a caller resend them. Everything else may be repeated.',
    ),
  deadlines,
  limits,
  claims,
};
