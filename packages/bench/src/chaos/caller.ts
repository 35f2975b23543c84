/** A caller with one wish: sends, and where it may, sends again under the same key until it knows the outcome. */
import { systemClock } from '@jasmineroute/core';
import type { Dispatcher } from 'undici';
import type { Balancer } from '../balancer/index.js';
import { send } from '../load/index.js';
import type { RequestRecord, SendOptions } from '../load/index.js';
import type { Wish } from './plan.js';
import { sendPlain } from './plainSend.js';

/** One try of a wish. */
export interface Try {
  readonly record: RequestRecord;
  readonly entry: string;
  /** From the start of the run, milliseconds. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** All tries of a wish. */
export interface WishRecord {
  readonly nonce: string;
  readonly once: boolean;
  readonly kind: Wish['kind'];
  readonly tries: readonly Try[];
}

/** What callers share. */
export interface CallerContext {
  readonly balancer: Balancer;
  readonly dispatcher: Dispatcher;
  readonly giveUpMs: number;
  readonly tries: number;
  /** Start of the run on the monotonic clock. */
  readonly start: number;
}

const RESEND_PAUSE_MS = 300;
const LONGEST_PAUSE_MS = 3_000;

/** Outcomes after which a resend can tell more. A kept or lost outcome of a key is final. */
const FINAL_CODES = new Set(['outcome-unknown', 'answer-not-kept']);

const settled = ({ outcome, code }: RequestRecord): boolean =>
  outcome === 'complete' || (outcome === 'refused' && FINAL_CODES.has(code));

const plannedOf = (wish: Wish): { id: string; nonce: string; atMs: number } =>
  wish.kind === 'model' ? wish.request : wish.call;

const sendWish = (wish: Wish, id: string, arrival: number, options: SendOptions): Promise<RequestRecord> =>
  wish.kind === 'model'
    ? send({ ...wish.request, id }, arrival, options)
    : sendPlain({ ...wish.call, id }, arrival, options);

async function tryOnce(wish: Wish, attempt: number, context: CallerContext): Promise<Try> {
  const { id, nonce } = plannedOf(wish);
  const entry = context.balancer.take();
  const begin = systemClock.monotonic();
  const record = await sendWish(wish, attempt === 0 ? id : `${id}.r${attempt}`, begin, {
    url: () => entry.url,
    dispatcher: context.dispatcher,
    clock: systemClock,
    redialMs: 0,
    giveUpMs: context.giveUpMs,
    headers: wish.once ? { 'Idempotency-Key': nonce } : undefined,
  });
  return {
    record,
    entry: entry.name,
    fromMs: begin - context.start,
    toMs: systemClock.monotonic() - context.start,
  };
}

/** Works on a wish until its outcome is known or the tries are used up. */
export async function fulfil(wish: Wish, context: CallerContext): Promise<WishRecord> {
  const tries: Try[] = [];
  while (tries.length < context.tries) {
    const made = await tryOnce(wish, tries.length, context);
    tries.push(made);
    if (settled(made.record)) break;
    await systemClock.sleep(Math.min(RESEND_PAUSE_MS * tries.length, LONGEST_PAUSE_MS));
  }
  return { nonce: plannedOf(wish).nonce, once: wish.once, kind: wish.kind, tries };
}
