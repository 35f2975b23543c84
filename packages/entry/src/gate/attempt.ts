/**
 * One attempt at a gate: reads and checks its event stream, and resumes it when the connection breaks or goes silent.
 */
import type { Transport } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import type { Clock, Log, Metrics, Ran } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import type { gateMessage } from '@jasmineroute/protocol';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';
import { cannotResume, neverSent } from './client.js';
import type { AttemptRef, GateClients } from './client.js';
import { failureFault, isBreak, refusalFault } from './outcome.js';
import type { AttemptOutcome, StreamBreak } from './outcome.js';
import { Watchdog } from './watchdog.js';

/** Receives the answer of an attempt. A returned promise resolves when the sink can take more. */
export interface AttemptSink {
  head(status: number, headers: readonly HeaderField[]): Promise<void> | void;
  chunk(bytes: Uint8Array): Promise<void> | void;
  /** A heartbeat came: the attempt is running without new output. */
  onHeartbeat(): void;
}

/** Timeouts of an attempt, milliseconds. */
export interface AttemptBounds {
  readonly streamSilenceMs: number;
  readonly resumeWindowMs: number;
}

/** Dependencies of an attempt. */
export interface AttemptContext {
  readonly clients: GateClients;
  readonly bounds: AttemptBounds;
  /** Whether the request may be sent to another target even if this one may have run it. */
  readonly repeatable: boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Delay between two attempts to resume a stream. */
const RESUME_DELAY_MS = 100;

/** Opens an event stream that ends when the signal aborts. */
type StreamOpener = (signal: AbortSignal) => AsyncIterable<gateMessage.RunEvent>;

/**
 * For a gate that does not answer but may have the attempt: cancelling could stop a run whose answer can still
 * be fetched later.
 */
const agentUnresponsive: AttemptOutcome = {
  type: 'failed',
  fault: fault('already-running', 'the agent that got the first request with this key does not answer'),
};

/** Runs one attempt. Each object is used once. */
export class Attempt {
  /** Ordinal of the next expected event. */
  private nextOrdinal = 0n;
  private watchdog: Watchdog | undefined;
  /** Whether another process started the attempt. */
  private isAttached = false;

  constructor(
    private readonly context: AttemptContext,
    private readonly address: string,
    private readonly request: AttemptRef,
    private readonly sink: AttemptSink,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether the gate accepted the attempt. */
  get accepted(): boolean {
    return this.nextOrdinal > 0n;
  }

  /** Sends the request and follows its events to the end. */
  async run(message: gateMessage.RunRequest): Promise<AttemptOutcome> {
    const connection = this.context.clients.connection(this.address);
    const result = await this.followStream(connection, (signal) =>
      this.context.clients.client(connection).run(message, { signal }),
    );
    if (!isBreak(result)) return result;
    if (this.stopped()) return { type: 'stopped' };
    if (!this.accepted && neverSent(result.error)) {
      return { type: 'refused', fault: fault('target-unreachable', 'the target could not be reached') };
    }
    return this.resumeStream(result);
  }

  /** Follows the events of an attempt that another process started, from the first one. */
  async attach(): Promise<AttemptOutcome> {
    this.isAttached = true;
    return this.resumeStream({ type: 'break', reason: 'lost' });
  }

  private async resumeStream(first: StreamBreak): Promise<AttemptOutcome> {
    const { clock, clients, bounds, metrics, log, repeatable } = this.context;
    let lastBreak = first;
    // An idempotent request that the gate has not accepted is retried on another target without waiting.
    const initialWindowMs = repeatable && !this.accepted ? 0 : bounds.resumeWindowMs;
    let resumeUntil = clock.monotonic() + initialWindowMs;
    while (!this.stopped()) {
      const from = this.nextOrdinal;
      const connection = clients.connection(this.address);
      const result = await this.followStream(connection, (signal) =>
        clients.client(connection).resume({ ...this.ids(), fromOrdinal: from }, { signal }),
      );
      if (this.nextOrdinal > from) {
        metrics.count(entryMetrics.resumes);
        log.event(entryEvents.streamResumed, { ...this.ids(), from: Number(from) });
        resumeUntil = clock.monotonic() + bounds.resumeWindowMs;
      }
      if (!isBreak(result)) return result;
      lastBreak = result;
      if (cannotResume(result.error) || neverSent(result.error)) break;
      if (clock.monotonic() >= resumeUntil) break;
      await this.waitBeforeResume();
    }
    if (this.stopped()) return { type: 'stopped' };
    return this.lostOutcome(lastBreak);
  }

  /** The outcome of an attempt whose stream can't be resumed, with its proven run state. */
  private async lostOutcome(lastBreak: StreamBreak): Promise<AttemptOutcome> {
    this.context.log.event(entryEvents.streamLost, { ...this.ids(), reason: lastBreak.reason });
    if (this.isAttached && !cannotResume(lastBreak.error)) return agentUnresponsive;
    const ran = await this.provenRunState();
    return { type: 'failed', fault: fault('target-lost', 'the target was lost', { ran }) };
  }

  /**
   * The proven run state of a lost attempt. A repeatable attempt is cancelled without waiting for the response, since
   * it is retried elsewhere. An accepted attempt that is not repeatable is left running, so that its answer can still
   * be fetched.
   */
  private async provenRunState(): Promise<Ran> {
    const { clients, repeatable } = this.context;
    if (this.accepted && !repeatable) return 'may-have-run';
    const cancelled = clients.cancel(this.address, this.request);
    return repeatable ? 'may-have-run' : cancelled;
  }

  private async waitBeforeResume(): Promise<void> {
    try {
      await this.context.clock.sleep(RESUME_DELAY_MS, this.signal);
    } catch {
      // Aborted: the caller checks the signal.
    }
  }

  /** Reads one stream until its last event or a break, and aborts it when it goes silent. */
  private async followStream(
    connection: Transport,
    open: StreamOpener,
  ): Promise<AttemptOutcome | StreamBreak> {
    const { clock, bounds } = this.context;
    const controller = new AbortController();
    const stop = (): void => {
      controller.abort();
    };
    let reason: StreamBreak['reason'] = 'lost';
    const watchdog = new Watchdog(clock, bounds.streamSilenceMs, () => {
      reason = 'silent';
      this.dropSilentConnection(connection);
      controller.abort();
    });
    this.signal.addEventListener('abort', stop, { once: true });
    this.watchdog = watchdog;
    try {
      const result = await this.readEvents(open(controller.signal)[Symbol.asyncIterator](), controller);
      if (isBreak(result) && result.reason === 'crossed') this.context.clients.drop(this.address, connection);
      return result;
    } catch (error) {
      return { type: 'break', reason, error };
    } finally {
      watchdog.stop();
      this.signal.removeEventListener('abort', stop);
    }
  }

  private async readEvents(
    events: AsyncIterator<gateMessage.RunEvent>,
    controller: AbortController,
  ): Promise<AttemptOutcome | StreamBreak> {
    for (;;) {
      const step = await events.next();
      if (step.done === true) return { type: 'break', reason: 'lost' };
      this.watchdog?.reset();
      const result = await this.handleEvent(step.value);
      if (result === undefined) continue;
      if (isBreak(result)) controller.abort();
      else void this.readToEnd(events, controller);
      return result;
    }
  }

  private dropSilentConnection(connection: Transport): void {
    const { clients, metrics, log } = this.context;
    if (!clients.drop(this.address, connection)) return;
    metrics.count(entryMetrics.silences);
    log.event(entryEvents.streamSilent, { address: this.address, ...this.ids() });
  }

  /**
   * Reads a stream past its last event to its end. Aborting it would send an HTTP/2 reset for each request, and the
   * server closes connections with many resets to protect itself against rapid-reset attacks.
   */
  private async readToEnd(
    events: AsyncIterator<gateMessage.RunEvent>,
    controller: AbortController,
  ): Promise<void> {
    const cancelTimer = this.context.clock.after(this.context.bounds.streamSilenceMs, () => {
      controller.abort();
    });
    try {
      while ((await events.next()).done !== true);
    } catch {
      // The last event has arrived, so an error while closing the stream doesn't matter.
    } finally {
      cancelTimer();
    }
  }

  /** Checks one event and forwards it to the sink. Returns a result when no more events are to be read. */
  private async handleEvent(
    message: gateMessage.RunEvent,
  ): Promise<AttemptOutcome | StreamBreak | undefined> {
    if (message.requestId !== this.request.requestId) return this.reportMismatch(message.requestId);
    // An event was lost: later events must not be forwarded before it.
    if (message.ordinal > this.nextOrdinal) return { type: 'break', reason: 'gap' };
    const { event } = message;
    if (event.case === 'heartbeat') {
      this.sink.onHeartbeat();
      return undefined;
    }
    // A duplicate after a resume: the caller already has it.
    if (message.ordinal < this.nextOrdinal) return undefined;
    this.nextOrdinal += 1n;
    if (event.case === 'chunk') {
      const ready = this.sink.chunk(event.value);
      if (ready !== undefined) await this.waitForSink(ready);
      return undefined;
    }
    return this.handleOtherEvent(event);
  }

  private async handleOtherEvent(
    event: gateMessage.RunEvent['event'],
  ): Promise<AttemptOutcome | StreamBreak | undefined> {
    switch (event.case) {
      case 'head': {
        const ready = this.sink.head(event.value.status, event.value.headers);
        if (ready !== undefined) await this.waitForSink(ready);
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

  private async waitForSink(ready: Promise<void>): Promise<void> {
    this.watchdog?.pause();
    await ready;
    this.watchdog?.resume();
  }

  private stopped(): boolean {
    return this.signal.aborted;
  }

  private reportMismatch(other: string): StreamBreak {
    this.context.log.event(entryEvents.answerMismatch, { ...this.ids(), other });
    return { type: 'break', reason: 'crossed' };
  }

  private ids(): { requestId: string; attemptId: string } {
    return { requestId: this.request.requestId, attemptId: this.request.attemptId };
  }
}
