/** One attempt at a gate: its event stream, checked, and resumed when its connection breaks or goes silent. */
import type { Transport } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import type { Clock, Log, Metrics, Ran } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { gateMessage } from '@jasmineroute/protocol';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';
import { cannotResume, neverSent } from './client.js';
import type { AttemptName, GateClients } from './client.js';
import { failureFault, isBreak, refusalFault } from './outcome.js';
import type { AttemptOutcome, Break } from './outcome.js';
import { Watchdog } from './watchdog.js';

/** Where an attempt's answer goes. Resolves when more can be taken. */
export interface AttemptSink {
  head(status: number, headers: readonly HeaderField[]): Promise<void> | void;
  chunk(bytes: Uint8Array): Promise<void> | void;
  /** The stream lives but has nothing to say. */
  quiet(): void;
}

/** Bounds of an attempt, milliseconds. */
export interface AttemptBounds {
  readonly streamSilenceMs: number;
  readonly resumeWindowMs: number;
}

/** What an attempt works with. */
export interface AttemptContext {
  readonly clients: GateClients;
  readonly bounds: AttemptBounds;
  /** Whether the request may be sent to another target once this one may have run it. */
  readonly repeatable: boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Pause between two tries to resume. */
const RESUME_PAUSE_MS = 100;

/** Opens a stream of events that ends when the signal aborts. */
type StreamOpener = (signal: AbortSignal) => AsyncIterable<gateMessage.RunEvent>;

/** The gate may have the attempt and does not answer now: cancelling would end work that can still be asked for. */
const stillThere: AttemptOutcome = {
  type: 'failed',
  fault: fault('already-running', 'the agent that has the first request does not answer now'),
};

/** Runs one attempt. Made for one use. */
export class Attempt {
  /** Ordinal of the event that comes next. */
  private next = 0n;
  private watchdog: Watchdog | undefined;
  /** Another process started it. */
  private attached = false;

  constructor(
    private readonly context: AttemptContext,
    private readonly address: string,
    private readonly request: AttemptName,
    private readonly sink: AttemptSink,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether the gate took the attempt. */
  get accepted(): boolean {
    return this.next > 0n;
  }

  /** Sends the request and follows its events to the end. */
  async run(message: gateMessage.RunRequest): Promise<AttemptOutcome> {
    const connection = this.context.clients.connection(this.address);
    const result = await this.follow(connection, (signal) =>
      this.context.clients.over(connection).run(message, { signal }),
    );
    if (!isBreak(result)) return result;
    if (this.stopped()) return { type: 'stopped' };
    if (!this.accepted && neverSent(result.error)) {
      return { type: 'refused', fault: fault('target-unreachable', 'the target could not be reached') };
    }
    return this.mend(result);
  }

  /** Follows the events of an attempt that another process started, from the first one. */
  async attach(): Promise<AttemptOutcome> {
    this.attached = true;
    return this.mend({ type: 'break', reason: 'lost' });
  }

  private async mend(first: Break): Promise<AttemptOutcome> {
    const { clock, clients, bounds, metrics, log, repeatable } = this.context;
    let broken = first;
    // What the gate has not even accepted is better sent elsewhere than waited for.
    const patience = repeatable && !this.accepted ? 0 : bounds.resumeWindowMs;
    let until = clock.monotonic() + patience;
    while (!this.stopped()) {
      const from = this.next;
      const connection = clients.connection(this.address);
      const result = await this.follow(connection, (signal) =>
        clients.over(connection).resume({ ...this.ids(), fromOrdinal: from }, { signal }),
      );
      if (this.next > from) {
        metrics.count(entryMetrics.resumes);
        log.event(entryEvents.streamResumed, { ...this.ids(), from: Number(from) });
        until = clock.monotonic() + bounds.resumeWindowMs;
      }
      if (!isBreak(result)) return result;
      broken = result;
      if (cannotResume(result.error) || neverSent(result.error)) break;
      if (clock.monotonic() >= until) break;
      await this.pause();
    }
    if (this.stopped()) return { type: 'stopped' };
    return this.lost(broken);
  }

  /** The gate is gone or can't go on: asks what is proved, where a true "not run" hangs on it. */
  private async lost(broken: Break): Promise<AttemptOutcome> {
    this.context.log.event(entryEvents.streamLost, { ...this.ids(), reason: broken.reason });
    if (this.attached && !cannotResume(broken.error)) return stillThere;
    const ran = await this.proof();
    return { type: 'failed', fault: fault('target-lost', 'the target was lost', { ran }) };
  }

  /**
   * What is proved of a lost attempt. One that may be repeated goes on elsewhere without waiting; its work here
   * is cancelled. One that may not and was accepted is left to run: its end can still be asked for.
   */
  private async proof(): Promise<Ran> {
    const { clients, repeatable } = this.context;
    if (this.accepted && !repeatable) return 'may-have-run';
    const cancelled = clients.cancel(this.address, this.request);
    return repeatable ? 'may-have-run' : cancelled;
  }

  private async pause(): Promise<void> {
    try {
      await this.context.clock.sleep(RESUME_PAUSE_MS, this.signal);
    } catch {
      // Stopped: the caller of `pause` looks at the signal.
    }
  }

  /** Follows one stream until its last event or a break, and cuts it when it goes silent. */
  private async follow(connection: Transport, open: StreamOpener): Promise<AttemptOutcome | Break> {
    const { clock, bounds } = this.context;
    const cut = new AbortController();
    const stop = (): void => {
      cut.abort();
    };
    let reason: Break['reason'] = 'lost';
    const watchdog = new Watchdog(clock, bounds.streamSilenceMs, () => {
      reason = 'silent';
      this.dropSilent(connection);
      cut.abort();
    });
    this.signal.addEventListener('abort', stop, { once: true });
    this.watchdog = watchdog;
    try {
      const result = await this.read(open(cut.signal)[Symbol.asyncIterator](), cut);
      if (isBreak(result) && result.reason === 'crossed') this.context.clients.drop(this.address, connection);
      return result;
    } catch (error) {
      return { type: 'break', reason, error };
    } finally {
      watchdog.stop();
      this.signal.removeEventListener('abort', stop);
    }
  }

  private async read(
    events: AsyncIterator<gateMessage.RunEvent>,
    cut: AbortController,
  ): Promise<AttemptOutcome | Break> {
    for (;;) {
      const step = await events.next();
      if (step.done === true) return { type: 'break', reason: 'lost' };
      this.watchdog?.heard();
      const result = await this.take(step.value);
      if (result === undefined) continue;
      if (isBreak(result)) cut.abort();
      else void this.finish(events, cut);
      return result;
    }
  }

  private dropSilent(connection: Transport): void {
    const { clients, metrics, log } = this.context;
    if (!clients.drop(this.address, connection)) return;
    metrics.count(entryMetrics.silences);
    log.event(entryEvents.streamSilent, { address: this.address, ...this.ids() });
  }

  /**
   * Reads a stream past its last event to its end. Cutting it instead would send a reset for each request,
   * and the other side closes connections with many resets as an attack.
   */
  private async finish(events: AsyncIterator<gateMessage.RunEvent>, cut: AbortController): Promise<void> {
    const calledOff = this.context.clock.after(this.context.bounds.streamSilenceMs, () => {
      cut.abort();
    });
    try {
      while ((await events.next()).done !== true);
    } catch {
      // The last event has come: how its stream closes is of no interest.
    } finally {
      calledOff();
    }
  }

  /** Checks one event and passes it on. Returns a result when reading is over. */
  private async take(message: gateMessage.RunEvent): Promise<AttemptOutcome | Break | undefined> {
    if (message.requestId !== this.request.requestId) return this.crossed(message.requestId);
    // A gap means that an event was lost on the way: what follows must not be passed on before it.
    if (message.ordinal > this.next) return { type: 'break', reason: 'gap' };
    const { event } = message;
    if (event.case === 'heartbeat') {
      this.sink.quiet();
      return undefined;
    }
    // Sent again after a resume: the caller has it.
    if (message.ordinal < this.next) return undefined;
    this.next += 1n;
    if (event.case === 'chunk') {
      const taken = this.sink.chunk(event.value);
      if (taken !== undefined) await this.wait(taken);
      return undefined;
    }
    return this.takeRare(event);
  }

  private async takeRare(event: gateMessage.RunEvent['event']): Promise<AttemptOutcome | Break | undefined> {
    switch (event.case) {
      case 'head': {
        const taken = this.sink.head(event.value.status, event.value.headers);
        if (taken !== undefined) await this.wait(taken);
        return undefined;
      }
      case 'end':
        return { type: 'ended', end: event.value };
      case 'refusal':
        return { type: 'refused', fault: refusalFault(event.value), load: event.value.load };
      case 'failure':
        return { type: 'failed', fault: failureFault(event.value) };
      default:
        return undefined;
    }
  }

  private async wait(taken: Promise<void>): Promise<void> {
    this.watchdog?.pause();
    await taken;
    this.watchdog?.resume();
  }

  private stopped(): boolean {
    return this.signal.aborted;
  }

  private crossed(other: string): Break {
    this.context.log.event(entryEvents.answerMismatch, { ...this.ids(), other });
    return { type: 'break', reason: 'crossed' };
  }

  private ids(): { requestId: string; attemptId: string } {
    return { requestId: this.request.requestId, attemptId: this.request.attemptId };
  }
}
