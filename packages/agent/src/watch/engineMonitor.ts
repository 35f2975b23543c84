/** Periodic health checks of the target. */
import type { Clock, Log } from '@jasmineroute/core';
import type { Engine, EngineState } from '@jasmineroute/engine';
import { agentEvents } from '../events.js';

/** Consecutive checks that must time out before the target counts as down. */
const MAX_MISSED_CHECKS = 2;

/** Shortest time between two checks, however often they are requested. */
const MIN_INTERVAL_MS = 20;

/** Result of the latest checks of the target. */
export interface EngineStatus {
  /** Whether the target answers and reports that it is ready. */
  readonly ready: boolean;
  /** The last reported state; undefined until the first answer. */
  readonly state: EngineState | undefined;
}

/** Dependencies and settings of an engine monitor; durations in milliseconds. */
export interface EngineMonitorOptions {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly log: Log;
  readonly intervalMs: number;
  readonly timeoutMs: number;
  /**
   * Called when the engine is a new process, before the new state becomes visible and hence before any request is
   * sent to it. `oldSeenAt` is the monotonic start of the last check that the previous process answered.
   */
  readonly onIncarnation: (incarnation: string, oldSeenAt: number) => void;
  /** Called when the announced state has changed. */
  readonly onChange: () => void;
}

/** Checks the target periodically and on request. */
export class EngineMonitor {
  private known: EngineStatus = { ready: false, state: undefined };
  private missedChecks = 0;
  private wake?: () => void;
  private isCheckRequested = false;
  private lastAnsweredAt = 0;

  constructor(private readonly options: EngineMonitorOptions) {}

  status(): EngineStatus {
    return this.known;
  }

  /** Requests a check now, for example after a broken connection, so that a crash is noticed early. */
  requestCheck(): void {
    this.isCheckRequested = true;
    this.wake?.();
  }

  /** Checks the target until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.check(signal);
      await this.pause(signal);
    }
  }

  /** Checks the target once. */
  async check(signal: AbortSignal): Promise<void> {
    const { engine, clock, timeoutMs } = this.options;
    const startedAt = clock.monotonic();
    const timeout = new AbortController();
    const cancelTimer = clock.after(timeoutMs, () => {
      timeout.abort(new Error('the health check timed out'));
    });
    const state = await engine.state(AbortSignal.any([signal, timeout.signal]));
    cancelTimer();
    if (signal.aborted) return;
    if (state.isOk()) {
      this.recordState(state.value);
      this.lastAnsweredAt = startedAt;
      return;
    }
    this.missedChecks++;
    // A refused connection means a crash. A slow answer may be a pause, so one missed check does not mark the target down.
    const crashed = state.error.kind === 'target-unreachable' || state.error.kind === 'target-lost';
    if (crashed || this.missedChecks >= MAX_MISSED_CHECKS) this.markDown(state.error.message);
  }

  private recordState(state: EngineState): void {
    const { log, onIncarnation } = this.options;
    const before = this.known;
    this.missedChecks = 0;
    if (state.incarnation !== before.state?.incarnation) {
      const old = before.state?.incarnation;
      if (old !== undefined) log.event(agentEvents.engineRestarted, { old, now: state.incarnation });
      onIncarnation(state.incarnation, this.lastAnsweredAt);
    }
    this.known = { ready: state.ready, state };
    if (state.ready && !before.ready) log.event(agentEvents.engineUp, { incarnation: state.incarnation });
    if (!state.ready && before.ready) log.event(agentEvents.engineDown, { reason: 'not ready' });
    if (JSON.stringify(before) !== JSON.stringify(this.known)) this.options.onChange();
  }

  private markDown(reason: string): void {
    if (!this.known.ready) return;
    this.known = { ...this.known, ready: false };
    this.options.log.event(agentEvents.engineDown, { reason });
    this.options.onChange();
  }

  private async pause(signal: AbortSignal): Promise<void> {
    const { clock, intervalMs } = this.options;
    if (this.isCheckRequested) await clock.sleep(MIN_INTERVAL_MS, signal).catch(() => undefined);
    if (signal.aborted || this.isCheckRequested) {
      this.isCheckRequested = false;
      return;
    }
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        cancelTimer();
        signal.removeEventListener('abort', finish);
        this.wake = undefined;
        resolve();
      };
      const cancelTimer = clock.after(intervalMs, finish);
      signal.addEventListener('abort', finish, { once: true });
      this.wake = finish;
    });
    this.isCheckRequested = false;
  }
}
