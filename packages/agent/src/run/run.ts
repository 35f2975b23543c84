/** The execution of one run, from the queue to its final event. */
import { create } from '@bufbuild/protobuf';
import { endHop, fault, startHop } from '@jasmineroute/core';
import type { Fault, HopSpan, Ran } from '@jasmineroute/core';
import type { Usage } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import { decodeChain } from '@jasmineroute/routing';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import type { RequestMeasurement } from '../load/index.js';
import { agentMetrics } from '../metrics.js';
import { EventBuffer } from './eventBuffer.js';
import type { RunContext } from './runContext.js';
import { EngineCall } from './engineCall.js';
import { finalEvent } from './finalEvent.js';
import { EventReader } from './eventReader.js';
import { StopError, stopReasonOr } from './stopError.js';

const EMPTY = new Uint8Array(0);

type Stage = 'queued' | 'sent' | 'ended';

/** One attempt at the target. It continues when the connection that started it breaks. */
export class Run {
  readonly buffer: EventBuffer;
  private readonly abort = new AbortController();
  private stage: Stage = 'queued';
  private outcome: Ran = 'may-have-run';
  private readerCount = 0;
  private onDelivered?: () => void;
  private cancelReaderGrace?: () => void;
  private readonly cancelDeadline: () => void;
  private readonly span: HopSpan;
  private readonly engineCall: EngineCall;

  /** @param cachedTokens prompt tokens that the index expects in the engine's cache. */
  constructor(
    private readonly context: RunContext,
    readonly request: gateMessage.RunRequest,
    private readonly incarnation: string,
    private readonly cachedTokens: number,
  ) {
    this.buffer = new EventBuffer(context.bounds, context.clock);
    const carrier = Object.fromEntries(request.headers.map(({ name, value }) => [name.toLowerCase(), value]));
    this.span = startHop('gate.run', 'server', { carrier });
    const { span, buffer } = this;
    this.engineCall = new EngineCall(context, {
      request,
      incarnation,
      span,
      buffer,
      signal: this.abort.signal,
    });
    this.cancelDeadline = context.clock.after(request.deadlineMs, () => {
      this.stop(fault('deadline-exceeded', 'the deadline has passed'));
    });
  }

  /** Whether the request has run, as far as that is certain now. */
  get ran(): Ran {
    if (this.stage === 'queued') return 'not-run';
    return this.stage === 'sent' ? 'may-have-run' : this.outcome;
  }

  /** Number of open readers. */
  get openReaders(): number {
    return this.readerCount;
  }

  /** Whether the run has ended. */
  get ended(): boolean {
    return this.stage === 'ended';
  }

  /** Whether the run was sent to the target and has not ended. */
  get isSent(): boolean {
    return this.stage === 'sent';
  }

  /** Executes the run to its final event. Never rejects. */
  async execute(): Promise<void> {
    const { context, request } = this;
    this.buffer.append({
      case: 'accepted',
      value: create(gateMessage.AcceptedSchema, { incarnation: this.incarnation }),
    });
    this.startReaderGrace();
    const uncached = Math.max(0, request.promptTokens - this.cachedTokens);
    const measurement = context.meter.track(request.priority, uncached, (ms) => {
      context.metrics.timing(agentMetrics.firstToken, ms);
      context.turns.leave(request.attemptId);
    });
    const result = await this.sendInTurn(measurement, uncached);
    context.turns.leave(request.attemptId);
    const usage = result.isOk() ? result.value : undefined;
    measurement.ended(usage?.outputTokens ?? 0);
    this.finish(result);
  }

  /** Reads events from an ordinal on. */
  read(from: number, signal: AbortSignal): EventReader {
    const { clock } = this.context;
    const { requestId } = this.request;
    this.readerCount++;
    this.cancelReaderGrace?.();
    const onClose = (): void => {
      this.readerCount--;
      this.startReaderGrace();
      if (this.buffer.isDelivered) this.onDelivered?.();
    };
    return new EventReader({ requestId, buffer: this.buffer, clock, from, signal, onClose });
  }

  /**
   * Stops the run if it was sent to an engine process that has been replaced.
   * @param oldSeenAt monotonic start of the last check that the old process answered.
   */
  engineReplaced(incarnation: string, oldSeenAt: number): void {
    if (this.stage !== 'sent' || !this.engineCall.isLost(incarnation, oldSeenAt)) return;
    this.stop(fault('target-lost', 'the engine has restarted'));
  }

  /** Resolves when a reader has received the final event, at the latest after `ms`. */
  whenDelivered(ms: number): Promise<void> {
    if (this.buffer.isDelivered) return Promise.resolve();
    return new Promise((resolve) => {
      const cancelTimer = this.context.clock.after(ms, resolve);
      this.onDelivered = () => {
        cancelTimer();
        resolve();
      };
    });
  }

  /** Drops request data that is no longer needed after the run, to free memory. */
  release(): void {
    this.request.body = EMPTY;
    this.request.chain = EMPTY;
    this.request.headers = [];
  }

  /** Stops the run with a fault unless it has ended, and cancels it at the target. */
  stop(reason: Fault): void {
    if (this.stage === 'ended' || this.abort.signal.aborted) return;
    this.abort.abort(new StopError(reason));
  }

  private async sendInTurn(
    measurement: RequestMeasurement,
    uncached: number,
  ): Promise<Result<Usage | undefined, Fault>> {
    const { slots, clock, metrics } = this.context;
    const queuedAt = clock.monotonic();
    const slot = await slots.acquire(this.request.priority, this.abort.signal);
    metrics.timing(agentMetrics.queueTime, clock.monotonic() - queuedAt);
    if (slot.isErr()) return err({ ...stopReasonOr(this.abort.signal, slot.error), ran: 'not-run' });
    try {
      await this.awaitPrefillTurn(uncached);
      // A Cancel that arrived while the slot was granted was answered NOT_RUN.
      if (this.abort.signal.aborted)
        return err(stopReasonOr(this.abort.signal, fault('cancelled', 'cancelled')));
      // The engine may have restarted or changed its weights while the run waited.
      const stale = this.context.recheckTarget(this.request);
      if (stale !== undefined) return err(stale);
      this.stage = 'sent';
      return await this.engineCall.forward(measurement);
    } finally {
      slot.value.release();
    }
  }

  /** Waits until the run may start its prefill. */
  private async awaitPrefillTurn(uncached: number): Promise<void> {
    const { attemptId, chain, priority } = this.request;
    const { turns, prefillMs } = this.context;
    if (chain.length === 0) return;
    turns.enter(attemptId, { chain: decodeChain(chain), priority, expectedMs: prefillMs(uncached) });
    await turns.wait(attemptId, this.abort.signal);
  }

  private finish(result: Result<Usage | undefined, Fault>): void {
    const { context, request } = this;
    this.cancelDeadline();
    this.cancelReaderGrace?.();
    this.outcome = result.isOk() ? 'ran' : result.error.ran;
    this.stage = 'ended';
    const load = context.load(request.priority);
    if (result.isErr()) {
      this.recordFault(result.error);
      this.buffer.append(finalEvent(result.error, load));
      endHop(this.span, result.error.kind);
      return;
    }
    const usage = result.value;
    if (usage !== undefined) context.onUsage(request, usage);
    this.buffer.append({ case: 'end', value: create(gateMessage.EndSchema, { ...usage, load }) });
    endHop(this.span);
  }

  private recordFault(cause: Fault): void {
    const { log, metrics } = this.context;
    const refused = cause.ran === 'not-run';
    metrics.count(refused ? agentMetrics.refusals : agentMetrics.failures, 1, { kind: cause.kind });
    log.event(refused ? agentEvents.runRefused : agentEvents.runFailed, {
      requestId: this.request.requestId,
      attemptId: this.request.attemptId,
      kind: cause.kind,
      ran: cause.ran,
      message: cause.message,
    });
  }

  /**
   * Cancels an idempotent run that has had no reader for `readerGraceMs`: its entry is gone, and a retry of the caller
   * starts a new run. A non-idempotent run continues, as its answer can still be requested.
   */
  private startReaderGrace(): void {
    if (this.readerCount > 0 || this.ended || !this.request.idempotent) return;
    this.cancelReaderGrace?.();
    this.cancelReaderGrace = this.context.clock.after(this.context.readerGraceMs, () => {
      if (this.readerCount > 0) return;
      this.context.log.event(agentEvents.runAbandoned, { attemptId: this.request.attemptId });
      this.stop(fault('cancelled', 'no entry reads the answer any more'));
    });
  }
}
