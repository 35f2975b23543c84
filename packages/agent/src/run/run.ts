/** The task of one run: from the queue through the target to its last event. */
import { create } from '@bufbuild/protobuf';
import { endHop, fault, startHop } from '@jasmineroute/core';
import type { Fault, HopSpan, Ran } from '@jasmineroute/core';
import type { Usage } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import { decodeChain } from '@jasmineroute/routing';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import type { Measure } from '../load/index.js';
import { agentMetrics } from '../metrics.js';
import { EventBuffer } from './buffer.js';
import type { RunContext } from './context.js';
import { EngineCall } from './engineCall.js';
import { lastEvent } from './last.js';
import { EventReader } from './reader.js';
import { StopError, reasonOf } from './stop.js';

const EMPTY = new Uint8Array(0);

type Stage = 'queued' | 'sent' | 'ended';

/** One attempt at the target. It lives on when the connection that started it breaks. */
export class Run {
  readonly buffer: EventBuffer;
  private readonly abort = new AbortController();
  private stage: Stage = 'queued';
  private outcome: Ran = 'may-have-run';
  private readers = 0;
  private onDelivered?: () => void;
  private stopGrace?: () => void;
  private readonly stopDeadline: () => void;
  private readonly span: HopSpan;
  private readonly call: EngineCall;

  /** @param cachedTokens what the index expects to be in the engine's cache. */
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
    this.call = new EngineCall(context, { request, incarnation, span, buffer, signal: this.abort.signal });
    this.stopDeadline = context.clock.after(request.deadlineMs, () => {
      this.stop(fault('deadline-exceeded', 'the deadline has passed'));
    });
  }

  /** What is proved of the run by now. */
  get ran(): Ran {
    if (this.stage === 'queued') return 'not-run';
    return this.stage === 'sent' ? 'may-have-run' : this.outcome;
  }

  /** Readers now. */
  get reading(): number {
    return this.readers;
  }

  /** Whether the last event is in. */
  get ended(): boolean {
    return this.stage === 'ended';
  }

  /** Whether the target may be at work on it. */
  get sent(): boolean {
    return this.stage === 'sent';
  }

  /** Works the run off. Never rejects. */
  async execute(): Promise<void> {
    const { context, request } = this;
    this.buffer.append({
      case: 'accepted',
      value: create(gateMessage.AcceptedSchema, { incarnation: this.incarnation }),
    });
    this.watchReaders();
    const uncached = Math.max(0, request.promptTokens - this.cachedTokens);
    const measure = context.meter.measure(request.priority, uncached, (ms) => {
      context.metrics.timing(agentMetrics.firstToken, ms);
      context.turns.leave(request.attemptId);
    });
    const result = await this.work(measure, uncached);
    context.turns.leave(request.attemptId);
    const usage = result.isOk() ? result.value : undefined;
    measure.ended(usage?.outputTokens ?? 0);
    this.finish(result);
  }

  /** Reads events from an ordinal on. */
  read(from: number, signal: AbortSignal): EventReader {
    const { clock } = this.context;
    const { requestId } = this.request;
    this.readers++;
    this.stopGrace?.();
    const onClose = (): void => {
      this.readers--;
      this.watchReaders();
      if (this.buffer.delivered) this.onDelivered?.();
    };
    return new EventReader({ requestId, buffer: this.buffer, clock, from, signal, onClose });
  }

  /**
   * The engine is another process now. Ends the run if it was at work on the old one.
   * @param oldSeenAt when the old one was last asked and still answered.
   */
  engineReplaced(incarnation: string, oldSeenAt: number): void {
    if (this.stage !== 'sent' || !this.call.isLost(incarnation, oldSeenAt)) return;
    this.stop(fault('target-lost', 'the engine has restarted'));
  }

  /** Resolves when a reader has taken the last event, or `ms` after the end. */
  delivered(ms: number): Promise<void> {
    if (this.buffer.delivered) return Promise.resolve();
    return new Promise((resolve) => {
      const calledOff = this.context.clock.after(ms, resolve);
      this.onDelivered = () => {
        calledOff();
        resolve();
      };
    });
  }

  /** Lets go of what only the run itself needed. */
  release(): void {
    this.request.body = EMPTY;
    this.request.chain = EMPTY;
    this.request.headers = [];
  }

  /** Ends the run with a fault, unless it has ended. The target is told to stop. */
  stop(reason: Fault): void {
    if (this.stage === 'ended' || this.abort.signal.aborted) return;
    this.abort.abort(new StopError(reason));
  }

  private async work(measure: Measure, uncached: number): Promise<Result<Usage | undefined, Fault>> {
    const { slots, clock, metrics } = this.context;
    const queuedAt = clock.monotonic();
    const slot = await slots.acquire(this.request.priority, this.abort.signal);
    metrics.timing(agentMetrics.queueTime, clock.monotonic() - queuedAt);
    if (slot.isErr()) return err({ ...reasonOf(this.abort.signal, slot.error), ran: 'not-run' });
    try {
      await this.prefillTurn(uncached);
      // A Cancel that came with the slot has been answered "not run".
      if (this.abort.signal.aborted) return err(reasonOf(this.abort.signal, fault('cancelled', 'cancelled')));
      // The engine may have restarted, or changed its weights, while the run waited.
      const stale = this.context.recheck(this.request);
      if (stale !== undefined) return err(stale);
      this.stage = 'sent';
      return await this.call.forward(measure);
    } finally {
      slot.value.release();
    }
  }

  /** Waits for its turn at the engine's prefill. */
  private async prefillTurn(uncached: number): Promise<void> {
    const { attemptId, chain, priority } = this.request;
    const { turns, prefillMs } = this.context;
    if (chain.length === 0) return;
    turns.enter(attemptId, { chain: decodeChain(chain), priority, expectedMs: prefillMs(uncached) });
    await turns.wait(attemptId, this.abort.signal);
  }

  private finish(result: Result<Usage | undefined, Fault>): void {
    const { context, request } = this;
    this.stopDeadline();
    this.stopGrace?.();
    this.outcome = result.isOk() ? 'ran' : result.error.ran;
    this.stage = 'ended';
    const load = context.load(request.priority);
    if (result.isErr()) {
      this.noteFault(result.error);
      this.buffer.append(lastEvent(result.error, load));
      endHop(this.span, result.error.kind);
      return;
    }
    const usage = result.value;
    if (usage !== undefined) context.counted(request, usage);
    this.buffer.append({ case: 'end', value: create(gateMessage.EndSchema, { ...usage, load }) });
    endHop(this.span);
  }

  private noteFault(cause: Fault): void {
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
   * Without a reader for some time, an idempotent run is cancelled: the entry is gone and the caller's next
   * try starts anew. A run that must not be repeated goes on, as its answer can still be asked for.
   */
  private watchReaders(): void {
    if (this.readers > 0 || this.ended || !this.request.idempotent) return;
    this.stopGrace?.();
    this.stopGrace = this.context.clock.after(this.context.readerGraceMs, () => {
      if (this.readers > 0) return;
      this.context.log.event(agentEvents.runAbandoned, { attemptId: this.request.attemptId });
      this.stop(fault('cancelled', 'nobody reads the answer any more'));
    });
  }
}
