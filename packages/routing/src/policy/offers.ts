/** What a target offers for a prompt: measured by a probe, or remembered where it did not answer in time. */
import { BLOCK_TOKENS, levelsOf } from '../prefix/index.js';
import { ASSUMED_PREFILL_RATE, prefillMs } from './estimate.js';
import type { Flights } from './flights.js';
import type { LoadBook } from './loadBook.js';
import type { Candidate, Job, Load, PolicyContext, ProbeReading } from './policy.js';
import type { PrefixHints } from './prefixHints.js';
import type { TargetHealth } from './targetHealth.js';

/** A target's offer. */
export interface Offer {
  readonly candidate: Candidate;
  /** Whether the target has answered; else the offer is from memory. */
  readonly heard: boolean;
  readonly load: Load;
  /** Prompt tokens that are vouched for to be cached. */
  readonly cachedTokens: number;
  /** Those, and what requests of this entry are about to compute there. */
  readonly reusedTokens: number;
  /** Those, and what is likely to be cached. */
  readonly likelyTokens: number;
  /** Expected milliseconds to the first token. */
  readonly estimateMs: number;
  /** Prefill at the target that is likely, milliseconds. */
  readonly recomputeMs: number;
  /** Prefill in `estimateMs` that is not likely. */
  readonly spareMs: number;
}

/** What offers are made from. */
export interface OfferSources {
  readonly context: PolicyContext;
  readonly flights: Flights;
  readonly health: TargetHealth;
  readonly loadBook: LoadBook;
  readonly hints: PrefixHints;
  /** Whether blocks that a lost cache event may have removed count as likely. */
  readonly trustLikely: boolean;
}

/** One-way network time to another data centre, and within one, milliseconds. */
const FAR_MS = 1;
const NEAR_MS = 0.2;

const IDLE: Load = {
  running: 0,
  queued: 0,
  queuedTokens: 0,
  aheadTokens: 0,
  prefillRate: 0,
  tokenMs: 0,
  capacity: 0,
};

/** The offer of a target that has answered. @param askedAt when the probe was sent. */
export function heardOffer(
  sources: OfferSources,
  candidate: Candidate,
  job: Job,
  reading: ProbeReading,
  askedAt: number,
): Offer {
  const { load, cachedTokens } = reading;
  const pending = sources.flights.pendingBlocks(candidate, job.chain) * BLOCK_TOKENS;
  const reusedTokens = Math.max(cachedTokens, Math.min(pending, job.promptTokens));
  const likely = sources.trustLikely ? Math.min(reading.likelyTokens ?? 0, job.promptTokens) : 0;
  const likelyTokens = Math.max(likely, reusedTokens);
  const told = reading.estimateMs + unmeasuredMs(reading, job) - prefillMs(load, reusedTokens - cachedTokens);
  const waitMs = Math.max(0, told + sources.flights.sentSince(candidate, askedAt));
  return {
    candidate,
    heard: true,
    load,
    cachedTokens,
    reusedTokens,
    likelyTokens,
    estimateMs: waitMs * sources.health.factor(candidate) + networkMs(sources, candidate),
    recomputeMs: prefillMs(load, job.promptTokens - likelyTokens),
    spareMs: prefillMs(load, likelyTokens - reusedTokens),
  };
}

/**
 * The offer of a target that has not answered, from what this entry has sent there and last heard.
 *
 * What goes wrong: on a busy machine or network, probes time out by the dozen. A policy that drops the silent
 * targets sends prompts away from their caches, which makes work and thus more timeouts; one that takes silent
 * homes as they are overruns the hot ones.
 */
export function rememberedOffer(sources: OfferSources, candidate: Candidate, job: Job): Offer {
  const now = sources.context.clock.monotonic();
  const load = sources.loadBook.load(candidate) ?? IDLE;
  const pending = sources.flights.pendingBlocks(candidate, job.chain);
  const blocks = Math.max(pending, sources.hints.blocksAt(levelsOf(job.chain), candidate.name));
  const tokens = Math.min(job.promptTokens, blocks * BLOCK_TOKENS);
  const recomputeMs = prefillMs(load, job.promptTokens - tokens);
  const waitMs = sources.loadBook.waitMs(candidate) + sources.flights.unansweredMs(candidate, now);
  return {
    candidate,
    heard: false,
    load,
    cachedTokens: 0,
    reusedTokens: tokens,
    likelyTokens: tokens,
    estimateMs: (waitMs + recomputeMs) * sources.health.factor(candidate) + networkMs(sources, candidate),
    recomputeMs,
    spareMs: 0,
  };
}

function networkMs(sources: OfferSources, candidate: Candidate): number {
  return candidate.dataCentre === sources.context.dataCentre ? 2 * NEAR_MS : 2 * FAR_MS;
}

/** Prefill that an agent which has not measured its engine's speed leaves out of its estimate. */
function unmeasuredMs(reading: ProbeReading, job: Job): number {
  if (reading.load.prefillRate > 0) return 0;
  const tokens = reading.load.aheadTokens + job.promptTokens - reading.cachedTokens;
  return (tokens * 1_000) / ASSUMED_PREFILL_RATE;
}
