/** Dependencies shared by the runs of a gate. */
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import type { Engine, Usage } from '@jasmineroute/engine';
import type { gateMessage } from '@jasmineroute/protocol';
import type { PrefillTurns } from '@jasmineroute/routing';
import type { LoadMeter, Slots } from '../load/index.js';
import type { BufferBounds } from './eventBuffer.js';

/** Passed to each run. */
export interface RunContext {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly slots: Slots;
  readonly meter: LoadMeter;
  /** Limits concurrent prefills, and orders requests so that a shared prefix is computed once. */
  readonly turns: PrefillTurns;
  /** Milliseconds of prefill for a number of tokens. */
  readonly prefillMs: (tokens: number) => number;
  readonly bounds: BufferBounds;
  /** How long an idempotent run continues without a reader, milliseconds. */
  readonly readerGraceMs: number;
  /** Checks the run again before it is sent; returns a fault when the target has changed since it was accepted. */
  readonly recheckTarget: (request: gateMessage.RunRequest) => Fault | undefined;
  /** Load for the final event. */
  readonly load: (priority: number) => gateMessage.Load;
  /** Called when the engine broke a connection, to check its state at once. */
  readonly suspect: () => void;
  /** Called with the token counts that the target reported for a request. */
  readonly onUsage: (request: gateMessage.RunRequest, usage: Usage) => void;
}
