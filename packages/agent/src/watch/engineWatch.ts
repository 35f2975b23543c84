/** Follows the target's health: one task that looks at it again and again. */
import type { Clock, Log } from '@jasmineroute/core';
import type { Engine, EngineState } from '@jasmineroute/engine';
import { agentEvents } from '../events.js';

/** Looks that fail before a target that merely does not answer in time counts as down. */
const MISSES = 2;

/** Shortest time between two looks, however often one is asked for. */
const MIN_INTERVAL_MS = 20;

/** What is known of the target now. */
export interface EngineStatus {
  /** Whether it answers and says that it is ready. */
  readonly ready: boolean;
  /** Its last state; undefined until it first answered. */
  readonly state: EngineState | undefined;
}

/** What the watch needs. */
export interface EngineWatchOptions {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly log: Log;
  readonly intervalMs: number;
  readonly timeoutMs: number;
  /**
   * The engine is a new process. Called before the new state can be seen, so before any request to it.
   * `oldSeenAt` is the time at which a look began that the old one still answered.
   */
  readonly onIncarnation: (incarnation: string, oldSeenAt: number) => void;
  /** Something that others see has changed. */
  readonly onChange: () => void;
}

/** The watch. */
export class EngineWatch {
  private known: EngineStatus = { ready: false, state: undefined };
  private misses = 0;
  private wake?: () => void;
  private poked = false;
  private seenAt = 0;

  constructor(private readonly options: EngineWatchOptions) {}

  status(): EngineStatus {
    return this.known;
  }

  /** Looks now, as after a broken connection: a crash is noticed without waiting for the next turn. */
  poke(): void {
    this.poked = true;
    this.wake?.();
  }

  /** Looks until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.look(signal);
      await this.pause(signal);
    }
  }

  /** One look. */
  async look(signal: AbortSignal): Promise<void> {
    const { engine, clock, timeoutMs } = this.options;
    const startedAt = clock.monotonic();
    const bound = new AbortController();
    const calledOff = clock.after(timeoutMs, () => {
      bound.abort(new Error('no answer in time'));
    });
    const state = await engine.state(AbortSignal.any([signal, bound.signal]));
    calledOff();
    if (signal.aborted) return;
    if (state.isOk()) {
      this.answered(state.value);
      this.seenAt = startedAt;
      return;
    }
    this.misses++;
    // A refused connection is a crash. A slow answer may be a pause: evicting on the first would be wrong.
    const crashed = state.error.kind === 'target-unreachable' || state.error.kind === 'target-lost';
    if (crashed || this.misses >= MISSES) this.down(state.error.message);
  }

  private answered(state: EngineState): void {
    const { log, onIncarnation } = this.options;
    const before = this.known;
    this.misses = 0;
    if (state.incarnation !== before.state?.incarnation) {
      const old = before.state?.incarnation;
      if (old !== undefined) log.event(agentEvents.engineRestarted, { old, now: state.incarnation });
      onIncarnation(state.incarnation, this.seenAt);
    }
    this.known = { ready: state.ready, state };
    if (state.ready && !before.ready) log.event(agentEvents.engineUp, { incarnation: state.incarnation });
    if (!state.ready && before.ready) log.event(agentEvents.engineDown, { reason: 'not ready' });
    if (JSON.stringify(before) !== JSON.stringify(this.known)) this.options.onChange();
  }

  private down(reason: string): void {
    if (!this.known.ready) return;
    this.known = { ...this.known, ready: false };
    this.options.log.event(agentEvents.engineDown, { reason });
    this.options.onChange();
  }

  private async pause(signal: AbortSignal): Promise<void> {
    const { clock, intervalMs } = this.options;
    if (this.poked) await clock.sleep(MIN_INTERVAL_MS, signal).catch(() => undefined);
    if (signal.aborted || this.poked) {
      this.poked = false;
      return;
    }
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        calledOff();
        signal.removeEventListener('abort', finish);
        this.wake = undefined;
        resolve();
      };
      const calledOff = clock.after(intervalMs, finish);
      signal.addEventListener('abort', finish, { once: true });
      this.wake = finish;
    });
    this.poked = false;
  }
}
