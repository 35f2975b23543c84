/** What the runs of a gate share. */
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import type { Engine, Usage } from '@jasmineroute/engine';
import type { gateMessage } from '@jasmineroute/protocol';
import type { PrefillTurns } from '@jasmineroute/routing';
import type { LoadMeter, Slots } from '../load/index.js';
import type { BufferBounds } from './buffer.js';

/** Given to each run. */
export interface RunContext {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly slots: Slots;
  readonly meter: LoadMeter;
  /** Requests before their first token: few at once, and a prefix that several need is computed once. */
  readonly turns: PrefillTurns;
  /** Milliseconds of prefill for a number of tokens. */
  readonly prefillMs: (tokens: number) => number;
  readonly bounds: BufferBounds;
  /** How long an idempotent run goes on without a reader, milliseconds. */
  readonly readerGraceMs: number;
  /** A fault when the target is no longer the one that the run was accepted for. */
  readonly recheck: (request: gateMessage.RunRequest) => Fault | undefined;
  /** Load for the last event. */
  readonly load: (priority: number) => gateMessage.Load;
  /** The engine broke a connection: worth a look. */
  readonly suspect: () => void;
  /** The target has counted the tokens of a request. */
  readonly counted: (request: gateMessage.RunRequest, usage: Usage) => void;
}
