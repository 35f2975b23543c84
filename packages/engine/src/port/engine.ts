/** The port to a model engine, or to a plain service, behind an agent. */
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';

/** One header field. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A request as the target is to get it. */
export interface EngineRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly priority: number;
  /** Keeps the engine's cache of one customer from another's: goes into its hash of the first block. */
  readonly cacheSalt: string;
  readonly deadlineMs: number;
  /** False: may not run twice, so the target gets it on a connection that was never used. */
  readonly idempotent?: boolean;
}

/** Tokens of one request as the target counted them. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** Start of an answer. The body comes as it arrives; it ends only after its terminal marker. */
export interface EngineAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** Throws a Fault on a break. A clean end means that the answer is whole. */
  readonly body: AsyncIterable<Uint8Array>;
  /** The target's incarnation that answers, when it says so. */
  readonly incarnation?: string;
  /** Whole events given out so far, for an answer that can be resumed; absent for others. */
  readonly events?: () => number;
  /** What the target counted; known once the body has ended. */
  readonly usage?: () => Usage | undefined;
}

/** A model with weights and adapters in an engine's memory. */
export interface EngineModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly { readonly name: string; readonly version: string }[];
}

/** What an engine says of itself. */
export interface EngineState {
  /** New for each start. */
  readonly incarnation: string;
  readonly ready: boolean;
  readonly models: readonly EngineModel[];
  /** Concurrent requests. */
  readonly capacity: number;
  /** "prefill", "decode" or empty for both. */
  readonly role?: string;
}

/** Load as the engine reports it, with a lag. */
export interface EngineLoad {
  readonly incarnation: string;
  readonly running: number;
  readonly queued: number;
  readonly queuedTokens: number;
}

/** One change of the engine's prefix cache. */
export type CacheEvent =
  | {
      readonly type: 'stored';
      readonly incarnation: string;
      readonly sequence: number;
      /** Engine's hash of the block before the first, or null at the start of a prompt. */
      readonly parent: string | null;
      readonly hashes: readonly string[];
      /** Token ids of all the blocks, in order. */
      readonly tokens: readonly number[];
      readonly blockTokens: number;
      readonly salt: string;
      readonly model: string;
      readonly adapter: string;
      readonly version: string;
    }
  | {
      readonly type: 'removed';
      readonly incarnation: string;
      readonly sequence: number;
      readonly hashes: readonly string[];
    }
  | { readonly type: 'cleared'; readonly incarnation: string; readonly sequence: number };

/** The whole cache at one moment; parents come before children. */
export interface CacheSnapshot {
  readonly incarnation: string;
  /** Sequence of the last event that is in it. */
  readonly sequence: number;
  readonly events: readonly CacheEvent[];
}

/** An order to an engine. Carries a fencing number; some engines refuse an old one, others ignore it. */
export type EngineOrder =
  | { readonly type: 'load-model'; readonly model: string; readonly version: string }
  | { readonly type: 'unload-model'; readonly model: string; readonly version: string }
  | { readonly type: 'load-adapter'; readonly model: string; readonly name: string; readonly version: string }
  | {
      readonly type: 'unload-adapter';
      readonly model: string;
      readonly name: string;
      readonly version: string;
    }
  | { readonly type: 'change-role'; readonly role: string };

/** A model engine or a plain service. All calls are bounded in time by the signal. */
export interface Engine {
  /** Sends a request. Its fault says whether any byte may have left. Aborting the signal cancels the work. */
  send(request: EngineRequest, signal: AbortSignal): Promise<Result<EngineAnswer, Fault>>;
  /** Continues an answer after `fromEvent` of its SSE events on a new connection; not all engines can. */
  resume?(
    request: EngineRequest,
    fromEvent: number,
    signal: AbortSignal,
  ): Promise<Result<EngineAnswer, Fault>>;
  /** Stops the work on an attempt. */
  cancel(attemptId: string, signal: AbortSignal): Promise<Result<void, Fault>>;
  state(signal: AbortSignal): Promise<Result<EngineState, Fault>>;
  load?(signal: AbortSignal): Promise<Result<EngineLoad, Fault>>;
  /** Cache events from `fromSequence` on as they come; ends or throws when the connection does. */
  cacheEvents?(fromSequence: number, signal: AbortSignal): AsyncIterable<CacheEvent>;
  /** All blocks now in the cache, as stored events of one sequence. */
  cacheSnapshot?(signal: AbortSignal): Promise<Result<CacheSnapshot, Fault>>;
  order?(order: EngineOrder, fence: bigint, signal: AbortSignal): Promise<Result<void, Fault>>;
  /** Imports blocks from another engine or from the store of kept KV cache. */
  importCache?(from: string, hashes: readonly string[], signal: AbortSignal): Promise<Result<void, Fault>>;
  /** Cuts all connections. */
  close?(): Promise<void>;
}
