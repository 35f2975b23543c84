/** What a numbered configuration holds: routes, services, customers and limits, replaced as a whole. */
import * as z from 'zod';

/** Largest number that arithmetic keeps exact. */
const wholeNumber = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const milliseconds = z.number().min(0);
const name = z.string().min(1);

/**
 * What may be done with a request that failed:
 * - idempotent: it may run more than once;
 * - once: it runs at most once for each request id;
 * - stream: an answer of events; runs at most once, unless it is resumable.
 */
export const routeKinds = ['idempotent', 'once', 'stream'] as const;

/** A share of a route's requests for one service. Shares count against their sum. */
export const share = z.object({ service: name, weight: z.number().min(0) });

/** Where requests of one host and path prefix go. */
export const route = z.object({
  name,
  host: name,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith('/').endsWith('/'),
  kind: z.enum(routeKinds),
  /** Longest time that a caller is kept waiting, milliseconds. */
  timeoutMs: milliseconds,
  /** Time for the first byte within which an answer is fully useful, milliseconds. */
  objectiveMs: milliseconds,
  /** Longest pause between two events of a stream that is still on time, milliseconds. */
  pauseMs: milliseconds.optional(),
  /** 0 is the most urgent. */
  priority: wholeNumber,
  services: z.array(share).min(1),
  /** Targets to which one request may be sent. */
  maxAttempts: z.number().int().min(1),
  /** Whether callers need no key. */
  open: z.boolean(),
  /** Whether requests describe a prompt whose parts are worth finding in a cache. */
  hasPrompt: z.boolean(),
  /** Whether a stream may go on at another target after the last event that the caller has. */
  resumable: z.boolean(),
});

/** Size and manner of the model engines of a service. */
export const engine = z.object({
  /** Requests that run at once. */
  slots: z.number().int().min(1),
  /** Prompt and output tokens that fit in memory. */
  cacheTokens: z.number().min(0),
  /** Bytes of memory of one token. */
  tokenBytes: z.number().optional(),
  models: z.array(z.object({ name })),
});

/** A service, and how its targets are reached. */
export const service = z.object({
  name,
  /** Path that answers 200 while a target is healthy. */
  healthPath: z.string().optional(),
  /** Connections that one target takes from all callers together. */
  maxConnections: z.number().int().min(1).optional(),
  engine: engine.optional(),
  /** The address of a store of kept KV cache, host:port; such a service has no targets. */
  storeAddress: z.string().optional(),
  /** Tokens that a store has room for. */
  cacheTokens: z.number().min(0).optional(),
  /** Speed of a store's link, Mbit/s. */
  linkMbps: z.number().optional(),
});

/** A customer and the keys that name it. */
export const customer = z.object({
  name,
  keys: z.array(z.string().min(1)),
  /** Goes before the route's priority. */
  priority: wholeNumber.optional(),
  /** Whether its cache entries are shared with nobody. */
  isolated: z.boolean(),
});

/** What a caller may send, and how long it may take. */
export const limits = z.object({
  maxHeaderBytes: wholeNumber,
  maxBodyBytes: wholeNumber,
  headerTimeoutMs: milliseconds,
  idleTimeoutMs: milliseconds,
});

/** A whole configuration. */
export const configuration = z.object({
  /** Higher numbers replace lower ones. */
  number: wholeNumber,
  routes: z.array(route),
  services: z.array(service),
  /** Absent: nobody needs a key. */
  customers: z.array(customer).optional(),
  limits: limits.optional(),
});

/** A whole configuration. */
export type Configuration = z.output<typeof configuration>;
/** Where requests of one host and path prefix go. */
export type Route = z.output<typeof route>;
/** What may be done with a request that failed. */
export type RouteKind = Route['kind'];
/** A service, and how its targets are reached. */
export type Service = z.output<typeof service>;
/** A customer and its keys. */
export type Customer = z.output<typeof customer>;
/** What a caller may send. */
export type Limits = z.output<typeof limits>;
