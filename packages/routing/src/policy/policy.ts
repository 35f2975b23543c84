/** Interface of routing policies, which choose a target for a request among its candidates. */
import type { Clock } from '@jasmineroute/core';
import type { Objective } from '@jasmineroute/document';
import type { Chain } from '../prefix/index.js';

/** Load of a target, as last reported by its agent. */
export interface Load {
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens waiting for prefill. */
  readonly queuedTokens: number;
  /** Prompt tokens waiting at the priority of the request or above. */
  readonly aheadTokens: number;
  /** Prefill speed, tokens per second; 0 if unknown. */
  readonly prefillRate: number;
  /** Milliseconds between output tokens; 0 if unknown. */
  readonly tokenMs: number;
  readonly capacity: number;
}

/** A target that can serve the request: alive, ready, with the required model, adapter and weights loaded. */
export interface Candidate {
  /** Name of the agent's instance. */
  readonly name: string;
  readonly engineIncarnation: string;
  readonly dataCentre: string;
  readonly capacity: number;
  readonly suspect: boolean;
  /** Version of the engine's software; empty or absent: it publishes none. */
  readonly softwareVersion?: string;
}

/** Properties of a request that a policy may use. */
export interface Job {
  readonly service: string;
  readonly customer: string;
  readonly model: string;
  /** Version of the weights that serve the request; absent for services without versioned weights. */
  readonly weightsVersion?: string;
  /** Block hashes of the prompt in its namespace. */
  readonly chain: Chain;
  readonly promptTokens: number;
  readonly priority: number;
  /** Milliseconds until the caller's deadline. */
  readonly deadlineMs: number;
  readonly objective: Objective;
  /** Targets on which this request has already failed. */
  readonly excluded: ReadonlySet<string>;
  /** Software version that began the answer: no other may continue it. Absent: the answer has not begun. */
  readonly softwareVersion?: string;
}

/** An agent's answer to a probe. */
export interface ProbeReading {
  readonly engineIncarnation: string;
  readonly accepting: boolean;
  /** Prompt tokens that are known to be cached. */
  readonly cachedTokens: number;
  /** `cachedTokens` plus blocks that a lost cache event may have removed; equal to `cachedTokens` when absent. */
  readonly likelyTokens?: number;
  readonly load: Load;
  /** The agent's estimate of the time to first token, milliseconds. */
  readonly estimateMs: number;
}

/** Sends a probe to an agent. Resolves to undefined when the probe times out. */
export type Probe = (candidate: Candidate, job: Job) => Promise<ProbeReading | undefined>;

/** Dependencies of a policy. */
export interface PolicyContext {
  readonly clock: Clock;
  readonly dataCentre: string;
  readonly probe: Probe;
  /** Seed of the policy's random number generator. */
  readonly seed: number;
  /** Milliseconds to import one block of KV cache from another target. Imports are disabled when absent. */
  readonly importBlockMs?: number;
}

/** The targets chosen for a request. */
export interface Choice {
  /** Targets in order of preference, never empty. Those after the first are used for retries. */
  readonly order: readonly Candidate[];
  /** Expected time to first token at the first target, milliseconds; undefined without an estimate. */
  readonly estimateMs?: number;
  /** Name of a target to import KV cache from, when that is faster than recomputing. */
  readonly importFrom?: string;
}

/** Result of a request at a target, reported to the policy. */
export interface Outcome {
  readonly candidate: Candidate;
  /** The same object that was passed to `dispatched`. */
  readonly job: Job;
  /** Whether this reports the first token or the end of the request; the end when absent. */
  readonly phase?: 'first-token' | 'end';
  readonly ok: boolean;
  /** Milliseconds from dispatch to the first token. */
  readonly firstTokenMs?: number;
  readonly cachedTokens?: number;
  readonly load?: Load;
}

/** A routing policy. Each entry process has one instance per service. */
export interface Policy {
  /** @param candidates never empty, without the targets in `job.excluded`. */
  choose(job: Job, candidates: readonly Candidate[]): Promise<Choice>;
  /** Called when a request has been sent to a target. */
  dispatched(candidate: Candidate, job: Job): void;
  /**
   * Called when a request has its first token and when it ends. Every dispatched request is reported with phase
   * "end" exactly once, also when it was refused, interrupted or cancelled.
   */
  settled(outcome: Outcome): void;
}

/** Creates a policy; registered under the policy's name. */
export type PolicyFactory = (context: PolicyContext) => Policy;
