/** The port of routing policies: from a request and its candidates to a choice. */
import type { Clock } from '@jasmineroute/core';
import type { Objective } from '@jasmineroute/document';
import type { Chain } from '../prefix/index.js';

/** Load of a target, as its agent last reported it. */
export interface Load {
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens waiting for prefill. */
  readonly queuedTokens: number;
  /** Prompt tokens waiting at the asked priority or above. */
  readonly aheadTokens: number;
  /** Tokens a second of prefill; 0: not known. */
  readonly prefillRate: number;
  /** Milliseconds between output tokens; 0: not known. */
  readonly tokenMs: number;
  readonly capacity: number;
}

/** A target that may take the request: alive, ready, the right model, adapter and weights loaded. */
export interface Candidate {
  /** Name of the agent's instance. */
  readonly name: string;
  readonly engineIncarnation: string;
  readonly dataCentre: string;
  readonly capacity: number;
  readonly suspect: boolean;
}

/** What a policy may know of the request. */
export interface Job {
  readonly service: string;
  readonly customer: string;
  readonly model: string;
  /** Version of the weights that the request is served with; absent for plain services. */
  readonly weightsVersion?: string;
  /** Block hashes of the prompt under its namespace. */
  readonly chain: Chain;
  readonly promptTokens: number;
  readonly priority: number;
  /** Milliseconds until the caller's deadline. */
  readonly deadlineMs: number;
  readonly objective: Objective;
  /** Targets that this request has failed on. */
  readonly excluded: ReadonlySet<string>;
}

/** Exact answer of an agent. */
export interface ProbeReading {
  readonly engineIncarnation: string;
  readonly accepting: boolean;
  /** Prompt tokens that are vouched for to be cached. */
  readonly cachedTokens: number;
  /** With blocks that a lost cache event may have removed; `cachedTokens` when absent. */
  readonly likelyTokens?: number;
  readonly load: Load;
  /** Agent's estimate of the time to first token, milliseconds. */
  readonly estimateMs: number;
}

/** Asks an agent. Resolves to undefined when it does not answer in time. */
export type Probe = (candidate: Candidate, job: Job) => Promise<ProbeReading | undefined>;

/** What a policy is made with. */
export interface PolicyContext {
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly probe: Probe;
  /** Seed of the policy's random numbers. */
  readonly seed: number;
  /** Milliseconds to import one block of KV cache from another target; nothing is imported when absent. */
  readonly importBlockMs?: number;
}

/** A choice, best first. */
export interface Choice {
  /** Never empty; later ones are for retries. */
  readonly order: readonly Candidate[];
  /** Expected time to first token at the first, milliseconds; undefined when the policy does not estimate. */
  readonly estimateMs?: number;
  /** Name of a target to import KV cache from, when that is quicker. */
  readonly importFrom?: string;
}

/** What became of a request at a target; policies learn from it. */
export interface Outcome {
  readonly candidate: Candidate;
  /** The same object that `dispatched` was given. */
  readonly job: Job;
  /** Told at the first token, and once more at the end; only at the end when absent. */
  readonly phase?: 'first-token' | 'end';
  readonly ok: boolean;
  /** Milliseconds from dispatch to the first token. */
  readonly firstTokenMs?: number;
  readonly cachedTokens?: number;
  readonly load?: Load;
}

/** A way to choose targets. One instance for each entry process and service. */
export interface Policy {
  /** @param candidates never empty; those in `job.excluded` are left out already. */
  choose(job: Job, candidates: readonly Candidate[]): Promise<Choice>;
  /** A request went out to a target. */
  dispatched(candidate: Candidate, job: Job): void;
  /**
   * Its first token came, or it ended in any way. Every dispatched request is told of with phase "end"
   * exactly once, also one that was refused, cut or cancelled.
   */
  settled(outcome: Outcome): void;
}

/** Makes a policy. Registered by name. */
export type PolicyFactory = (context: PolicyContext) => Policy;
