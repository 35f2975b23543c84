/** The one schema of service documents. Types are inferred from it. */
import { z } from 'zod';

const name = z
  .string()
  .regex(
    /^[a-z0-9](?:[a-z0-9._-]{0,62}[a-z0-9])?$/,
    'lower-case letters, digits, ".", "_" and "-", 1 to 64 long',
  );

/** SHA-256 of a key, so that documents never hold the key itself. */
const keyHash = z.string().regex(/^sha256:[0-9a-f]{64}$/, '"sha256:" and 64 hexadecimal digits');

const UNIT_MS = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 } as const;

/** A duration as text with a unit, "250ms", "30s", "24h"; parsed to milliseconds. */
const duration = z
  .string()
  .regex(/^\d+(?:\.\d+)?(?:ms|s|m|h|d)$/, 'a number with ms, s, m, h or d')
  .transform((text) => {
    const unit = text.replace(/^[\d.]+/, '') as keyof typeof UNIT_MS;
    return Math.round(Number.parseFloat(text) * UNIT_MS[unit]);
  });

const owner = z.strictObject({
  team: name,
  /** Hashes of the keys of the team's operators, by operator. */
  operators: z.record(name, keyHash).refine((keys) => Object.keys(keys).length > 0, 'at least one operator'),
});

const customer = z.strictObject({
  name,
  keys: z.array(keyHash).min(1),
  /** Name of a class under `priorities`. */
  priority: name.default('normal'),
  /** Weight of the customer's fair share under load. */
  share: z.number().positive().max(1_000).default(1),
  limits: z
    .strictObject({
      requestsPerSecond: z.number().positive().optional(),
      burst: z.number().int().positive().optional(),
      concurrency: z.number().int().positive().optional(),
    })
    .default({}),
});

const adapter = z.strictObject({ name, version: z.string().min(1) });

const model = z.strictObject({
  name: z.string().min(1).max(128),
  /** Version of the weights. Caches of two versions never mix. */
  version: z.string().min(1).max(64),
  adapters: z.array(adapter).default([]),
  /** Share of the service's targets that load the model; all models' shares are scaled to the whole. */
  share: z.number().positive().max(1).default(1),
});

/** Calls that may not be repeated. Absent fields match everything. */
const nonIdempotentRule = z.strictObject({
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).optional(),
  /** Path, with "*" for one segment and a last "**" for the rest. */
  path: z.string().startsWith('/').optional(),
  models: z.array(z.string()).optional(),
  customers: z.array(name).optional(),
});

const route = z
  .strictObject({ path: z.string().startsWith('/').optional(), host: z.string().min(1).optional() })
  .refine((value) => value.path !== undefined || value.host !== undefined, 'a path or a host');

const priority = z.strictObject({ name, level: z.number().int().min(0).max(100) });

const shared = {
  service: name,
  owner,
  customers: z.array(customer).default([]),
  priorities: z.array(priority).default([{ name: 'normal', level: 50 }]),
  nonIdempotent: z.array(nonIdempotentRule).default([]),
  deadlines: z
    .strictObject({ default: duration.default(60_000), max: duration.default(600_000) })
    .default({ default: 60_000, max: 600_000 }),
  limits: z
    .strictObject({
      bodyBytes: z
        .number()
        .int()
        .positive()
        .max(64 * 1024 * 1024)
        .default(4 * 1024 * 1024),
      /** Requests that may wait at one entry. */
      queue: z.number().int().nonnegative().default(256),
    })
    .default({ bodyBytes: 4 * 1024 * 1024, queue: 256 }),
  claims: z
    .strictObject({
      /** How long a key stays known. */
      window: duration.default(86_400_000),
      /** Largest answer that is kept for a resend. */
      answerBytes: z
        .number()
        .int()
        .nonnegative()
        .max(1024 * 1024)
        .default(65_536),
    })
    .default({ window: 86_400_000, answerBytes: 65_536 }),
};

const modelService = z.strictObject({
  kind: z.literal('model'),
  ...shared,
  /** What the owner weighs most: the tail of time to first token, or reuse of cached prompt work. */
  objective: z.enum(['latency', 'reuse']).default('latency'),
  /** Name of a routing policy; the product's own by default. */
  policy: z.string().default('default'),
  models: z.array(model).min(1),
  weights: z
    .strictObject({
      /** Targets that may load from the weight store at once. */
      concurrentLoads: z.number().int().positive().default(1),
      /** Whether agents order models onto engines; false: engines come with their models. */
      managed: z.boolean().default(false),
    })
    .default({ concurrentLoads: 1, managed: false }),
});

const plainService = z.strictObject({
  kind: z.literal('plain'),
  ...shared,
  routes: z.array(route).min(1),
  /** Whether a bearer key of a customer is asked for. */
  authenticated: z.boolean().default(true),
});

const controlService = z.strictObject({
  kind: z.literal('control'),
  service: z.literal('control'),
  owner,
  /** The instances that hold the durable state. */
  replicas: z
    .array(z.strictObject({ name, address: z.string().regex(/^[^\s:]+:\d+$/, 'host:port') }))
    .min(1)
    .max(9),
});

/** Any service document. */
export const documentSchema = z.discriminatedUnion('kind', [modelService, plainService, controlService]);

/** A checked document with defaults filled in; durations in milliseconds. */
export type Document = z.output<typeof documentSchema>;
export type ModelService = z.output<typeof modelService>;
export type PlainService = z.output<typeof plainService>;
export type ControlService = z.output<typeof controlService>;
export type Customer = z.output<typeof customer>;
export type Model = z.output<typeof model>;
export type NonIdempotentRule = z.output<typeof nonIdempotentRule>;
export type Route = z.output<typeof route>;
export type Objective = ModelService['objective'];
