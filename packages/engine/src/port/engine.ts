/** Port to a model engine or a plain service behind an agent. */
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';

/** One header field. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A request to a target. */
export interface EngineRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  readonly priority: number;
  /** Separates the cached blocks of customers: part of the engine's hash of the first block. */
  readonly cacheSalt: string;
  readonly deadlineMs: number;
  /** False: must not run twice, so it is sent on a new connection. */
  readonly idempotent?: boolean;
}

/** Token counts of one request, as reported by the target. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** An answer whose body is streamed as it arrives. The body ends only after its terminal marker. */
export interface EngineAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** Throws a FaultError on a break. A clean end means that the answer is complete. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Incarnation of the target that answers, if reported. */
  readonly incarnation?: string;
  /** Number of complete events read so far, for an answer that can be resumed; absent for others. */
  readonly events?: () => number;
  /** Token counts; known once the body has ended. */
  readonly usage?: () => Usage | undefined;
}

/** A model with weights and adapters in an engine's memory. */
export interface EngineModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly { readonly name: string; readonly version: string }[];
}

/** State that an engine reports. */
export interface EngineState {
  /** Differs for each start. */
  readonly incarnation: string;
  readonly ready: boolean;
  readonly models: readonly EngineModel[];
  /** Concurrent requests. */
  readonly capacity: number;
  /** "prefill", "decode" or empty for both. */
  readonly role?: string;
  /** Version of its software; empty or absent: it publishes none. */
  readonly softwareVersion?: string;
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

/** Snapshot of the whole cache; parents come before children. */
export interface CacheSnapshot {
  readonly incarnation: string;
  /** Sequence number of the last event included. */
  readonly sequence: number;
  readonly events: readonly CacheEvent[];
}

/** An order to an engine. It is sent with a fencing token; some engines reject an old one, others ignore it. */
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

/** A model engine or a plain service. The signal bounds the time of each call. */
export interface Engine {
  /** Sends a request. A fault states whether the request may have run. Aborting the signal cancels the work. */
  send(request: EngineRequest, signal: AbortSignal): Promise<Result<EngineAnswer, Fault>>;
  /** Continues an answer after `fromEvent` of its SSE events on a new connection; optional. */
  resume?(
    request: EngineRequest,
    fromEvent: number,
    signal: AbortSignal,
  ): Promise<Result<EngineAnswer, Fault>>;
  /** Stops the work on an attempt. */
  cancel(attemptId: string, signal: AbortSignal): Promise<Result<void, Fault>>;
  state(signal: AbortSignal): Promise<Result<EngineState, Fault>>;
  load?(signal: AbortSignal): Promise<Result<EngineLoad, Fault>>;
  /** Cache events from `fromSequence` on as they arrive; ends or throws when the connection does. */
  cacheEvents?(fromSequence: number, signal: AbortSignal): AsyncIterable<CacheEvent>;
  /** All blocks in the cache, as stored events of one sequence number. */
  cacheSnapshot?(signal: AbortSignal): Promise<Result<CacheSnapshot, Fault>>;
  order?(order: EngineOrder, fence: bigint, signal: AbortSignal): Promise<Result<void, Fault>>;
  /** Imports blocks from another engine or from a KV cache store. */
  importCache?(from: string, hashes: readonly string[], signal: AbortSignal): Promise<Result<void, Fault>>;
  /** Closes all connections. */
  close?(): Promise<void>;
}
