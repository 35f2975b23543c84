/** Schema of a numbered configuration: routes, services, customers and limits, which are always replaced together. */
import * as z from 'zod';

/** A non-negative integer up to the largest that JavaScript represents exactly. */
const wholeNumber = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const milliseconds = z.number().min(0);
const name = z.string().min(1);

/**
 * Whether a failed request may be retried:
 * - idempotent: it may run more than once;
 * - once: it runs at most once per request id;
 * - stream: its answer is a stream of events; it runs at most once, unless the stream is resumable.
 */
export const routeKinds = ['idempotent', 'once', 'stream'] as const;

/** The share of a route's requests that goes to one service, as a weight relative to the sum of all weights. */
export const share = z.object({ service: name, weight: z.number().min(0) });

/** Where requests of one host and path prefix go. */
export const route = z.object({
  name,
  host: name,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith('/').endsWith('/'),
  kind: z.enum(routeKinds),
  /** Maximum time that a caller is kept waiting, milliseconds. */
  timeoutMs: milliseconds,
  /** Latency objective for the first byte, milliseconds; later answers are less useful to the caller. */
  objectiveMs: milliseconds,
  /** Maximum pause between two events of a stream that counts as on time, milliseconds. */
  pauseMs: milliseconds.optional(),
  /** 0 is the most urgent. */
  priority: wholeNumber,
  services: z.array(share).min(1),
  /** Maximum number of targets to which one request is sent. */
  maxAttempts: z.number().int().min(1),
  /** Whether callers need no key. */
  open: z.boolean(),
  /** Whether requests describe a prompt whose parts may be cached. */
  hasPrompt: z.boolean(),
  /** Whether another target can resume a stream after the last event that the caller received. */
  resumable: z.boolean(),
});

/** Capacity and models of the engines of a service. */
export const engine = z.object({
  /** Maximum number of concurrent requests. */
  slots: z.number().int().min(1),
  /** Prompt and output tokens that fit in memory. */
  cacheTokens: z.number().min(0),
  /** Memory of one token, bytes. */
  tokenBytes: z.number().optional(),
  models: z.array(z.object({ name })),
});

/** A service, and how its targets are reached. */
export const service = z.object({
  name,
  /** Path that returns 200 while a target is healthy. */
  healthPath: z.string().optional(),
  /** Maximum number of connections that one target accepts from all entries together. */
  maxConnections: z.number().int().min(1).optional(),
  engine: engine.optional(),
  /** Address of a KV cache store, host:port; such a service has no targets. */
  storeAddress: z.string().optional(),
  /** Capacity of a store, tokens. */
  cacheTokens: z.number().min(0).optional(),
  /** Speed of a store's link, Mbit/s. */
  linkMbps: z.number().optional(),
});

/** A customer and its API keys. */
export const customer = z.object({
  name,
  keys: z.array(z.string().min(1)),
  /** Overrides the route's priority. */
  priority: wholeNumber.optional(),
  /** Whether its cache entries are isolated from other customers. */
  isolated: z.boolean(),
});

/** Limits for callers' requests. */
export const limits = z.object({
  maxHeaderBytes: wholeNumber,
  maxBodyBytes: wholeNumber,
  headerTimeoutMs: milliseconds,
  idleTimeoutMs: milliseconds,
});

/** A complete configuration. */
export const configuration = z.object({
  /** Higher numbers replace lower ones. */
  number: wholeNumber,
  routes: z.array(route),
  services: z.array(service),
  /** If absent, no request needs a key. */
  customers: z.array(customer).optional(),
  limits: limits.optional(),
});

/** A complete configuration. */
export type Configuration = z.output<typeof configuration>;
/** Where requests of one host and path prefix go. */
export type Route = z.output<typeof route>;
/** Whether a failed request may be retried. */
export type RouteKind = Route['kind'];
/** A service, and how its targets are reached. */
export type Service = z.output<typeof service>;
/** A customer and its keys. */
export type Customer = z.output<typeof customer>;
/** Limits for callers' requests. */
export type Limits = z.output<typeof limits>;
