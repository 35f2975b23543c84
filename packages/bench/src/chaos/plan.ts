/** What callers do in a chaos run: model requests and plain calls, some of which may not be repeated. */
import type { Shape } from '../deployment/index.js';
import { Random } from '../random/index.js';
import { defaultWorkload, planWorkload } from '../workload/index.js';
import type { PlannedRequest } from '../workload/index.js';

/** A call of the plain service. */
export interface PlannedCall {
  readonly id: string;
  readonly nonce: string;
  readonly atMs: number;
  readonly customer: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly deadlineMs: number;
}

/** One wish of a caller. `once`: it may not run twice, and the caller sends a key. */
export type Wish =
  | { readonly kind: 'model'; readonly once: boolean; readonly request: PlannedRequest }
  | { readonly kind: 'plain'; readonly once: boolean; readonly call: PlannedCall };

const PLAIN_SHARE = 0.1;
const STREAM_SHARE = 0.8;
const LONG_SHARE = 0.05;
const LONG_TOKENS = 120;
const DEADLINE_MS = 20_000;

/** Customers whose model requests may not be repeated. */
export const onceCustomers = (shape: Shape): string[] => shape.customers.slice(2, 4).map(({ name }) => name);

/** Draws the wishes, in order of arrival. */
export function planWishes(shape: Shape, seed: number, count: number, durationMs: number): Wish[] {
  const rate = count / (durationMs / 1_000);
  const random = new Random(seed + 1);
  const once = new Set(onceCustomers(shape));
  const requests = planWorkload(shape, {
    ...defaultWorkload,
    seed,
    rate: rate * 1.05,
    durationMs,
    houseTokens: 96,
    collectionTokens: 64,
    itemTokens: 32,
    questionTokens: 16,
    outputTokens: 6,
    streamShare: STREAM_SHARE,
    deadlineMs: DEADLINE_MS,
  }).slice(0, count);
  return requests.map((request): Wish => {
    if (random.chance(PLAIN_SHARE)) return plainWish(shape, request, random);
    const outputTokens = random.chance(LONG_SHARE) ? LONG_TOKENS : request.outputTokens;
    return { kind: 'model', once: once.has(request.customer), request: { ...request, outputTokens } };
  });
}

function plainWish(shape: Shape, request: PlannedRequest, random: Random): Wish {
  const { id, nonce, atMs, customer, deadlineMs } = request;
  const once = random.chance(0.5);
  return {
    kind: 'plain',
    once,
    call: {
      id,
      nonce,
      atMs,
      customer,
      method: once ? 'POST' : 'GET',
      path: `/${shape.plainService}/items/${nonce}`,
      body: once ? JSON.stringify({ nonce }) : '',
      deadlineMs,
    },
  };
}
