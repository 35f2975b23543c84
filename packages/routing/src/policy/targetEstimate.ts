/** Estimates of what a prompt would take at a target: from a probe, or from past observations when it timed out. */
import { BLOCK_TOKENS, levelsOf } from '../prefix/index.js';
import { ASSUMED_PREFILL_RATE, prefillMs } from './estimate.js';
import type { InFlightPrefills } from './inFlightPrefills.js';
import type { LastLoads } from './lastLoads.js';
import type { Candidate, Job, Load, PolicyContext, ProbeReading } from './policy.js';
import type { PrefixHints } from './prefixHints.js';
import type { TargetHealth } from './targetHealth.js';

/** Expected cache use and timing of a prompt at a target. */
export interface TargetEstimate {
  readonly candidate: Candidate;
  /** Whether the target answered the probe; otherwise the estimate is from past observations. */
  readonly answered: boolean;
  readonly load: Load;
  /** Prompt tokens that are known to be cached. */
  readonly cachedTokens: number;
  /** Cached tokens plus those that in-flight requests of this entry compute there. */
  readonly reusedTokens: number;
  /** Reused tokens plus those that are likely to be cached. */
  readonly likelyTokens: number;
  /** Expected milliseconds to the first token. */
  readonly estimateMs: number;
  /** Prefill time when the likely tokens are cached, milliseconds. */
  readonly recomputeMs: number;
  /** Part of `estimateMs` that is saved when the likely tokens are cached, milliseconds. */
  readonly likelySavingMs: number;
}

/** Data from which estimates are computed. */
export interface EstimateSources {
  readonly context: PolicyContext;
  readonly inFlight: InFlightPrefills;
  readonly health: TargetHealth;
  readonly lastLoads: LastLoads;
  readonly hints: PrefixHints;
  /** Whether blocks that a lost cache event may have removed count as likely. */
  readonly countLikelyBlocks: boolean;
}

/** One-way network latency to another data centre, and within one, milliseconds. */
const REMOTE_ONE_WAY_MS = 1;
const LOCAL_ONE_WAY_MS = 0.2;

const IDLE_LOAD: Load = {
  running: 0,
  queued: 0,
  queuedTokens: 0,
  aheadTokens: 0,
  prefillRate: 0,
  tokenMs: 0,
  capacity: 0,
};

/** Estimate for a target that answered its probe. @param probedAt time at which the probe was sent. */
export function probedEstimate(
  sources: EstimateSources,
  candidate: Candidate,
  job: Job,
  reading: ProbeReading,
  probedAt: number,
): TargetEstimate {
  const { load, cachedTokens } = reading;
  const pending = sources.inFlight.pendingBlocks(candidate, job.chain) * BLOCK_TOKENS;
  const reusedTokens = Math.max(cachedTokens, Math.min(pending, job.promptTokens));
  const likely = sources.countLikelyBlocks ? Math.min(reading.likelyTokens ?? 0, job.promptTokens) : 0;
  const likelyTokens = Math.max(likely, reusedTokens);
  const reportedMs =
    reading.estimateMs + unmeasuredPrefillMs(reading, job) - prefillMs(load, reusedTokens - cachedTokens);
  const waitMs = Math.max(0, reportedMs + sources.inFlight.prefillMsSince(candidate, probedAt));
  return {
    candidate,
    answered: true,
    load,
    cachedTokens,
    reusedTokens,
    likelyTokens,
    estimateMs: waitMs * sources.health.factor(candidate) + roundTripMs(sources, candidate),
    recomputeMs: prefillMs(load, job.promptTokens - likelyTokens),
    likelySavingMs: prefillMs(load, likelyTokens - reusedTokens),
  };
}

/**
 * Estimate for a target whose probe timed out, from the load it last reported and what this entry has sent there.
 *
 * On a busy machine or network, many probes time out. Leaving out these targets would send prompts away from their
 * caches, and the recomputation would cause more timeouts. Choosing the home without regard to its load would
 * overload the homes of popular prefixes.
 */
export function historyEstimate(sources: EstimateSources, candidate: Candidate, job: Job): TargetEstimate {
  const now = sources.context.clock.monotonic();
  const load = sources.lastLoads.load(candidate) ?? IDLE_LOAD;
  const pending = sources.inFlight.pendingBlocks(candidate, job.chain);
  const blocks = Math.max(pending, sources.hints.blocksAt(levelsOf(job.chain), candidate.name));
  const tokens = Math.min(job.promptTokens, blocks * BLOCK_TOKENS);
  const recomputeMs = prefillMs(load, job.promptTokens - tokens);
  const waitMs = sources.lastLoads.waitMs(candidate) + sources.inFlight.pendingMs(candidate, now);
  return {
    candidate,
    answered: false,
    load,
    cachedTokens: 0,
    reusedTokens: tokens,
    likelyTokens: tokens,
    estimateMs: (waitMs + recomputeMs) * sources.health.factor(candidate) + roundTripMs(sources, candidate),
    recomputeMs,
    likelySavingMs: 0,
  };
}

function roundTripMs(sources: EstimateSources, candidate: Candidate): number {
  return candidate.dataCentre === sources.context.dataCentre ? 2 * LOCAL_ONE_WAY_MS : 2 * REMOTE_ONE_WAY_MS;
}

/** Prefill time that is missing from the estimate of an agent that has not measured its engine's speed yet. */
function unmeasuredPrefillMs(reading: ProbeReading, job: Job): number {
  if (reading.load.prefillRate > 0) return 0;
  const tokens = reading.load.aheadTokens + job.promptTokens - reading.cachedTokens;
  return (tokens * 1_000) / ASSUMED_PREFILL_RATE;
}
