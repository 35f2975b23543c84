/** The task of one run: from the queue through the target to its last event. */
import { create } from '@bufbuild/protobuf';
import { carrierOf, endHop, fault, startHop } from '@jasmineroute/core';
import type { Clock, Fault, HopSpan, Log, Metrics, Ran } from '@jasmineroute/core';
import { broken } from '@jasmineroute/engine';
import type { Engine, EngineAnswer, EngineRequest, Usage } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import type { LoadMeter, Measure, Slots } from '../load/index.js';
import { agentMetrics } from '../metrics.js';
import { isOfEngine } from '../watch/incarnation.js';
import { EventBuffer } from './buffer.js';
import type { BufferBounds, EventBody } from './buffer.js';
import { lastEvent } from './last.js';
import { EventReader } from './reader.js';

/** How long the engine may take to confirm a cancellation. */
const CANCEL_TIMEOUT_MS = 1_000;

/** How often an answer that breaks is continued at the same engine. */
const MAX_RESUMES = 5;

/** Pause before an answer is continued. */
const RESUME_PAUSE_MS = 50;

/** What every run of a gate shares. */
export interface RunContext {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly slots: Slots;
  readonly meter: LoadMeter;
  readonly bounds: BufferBounds;
  /** How long an idempotent run goes on without a reader, milliseconds. */
  readonly readerGraceMs: number;
  /** A fault when the target is no longer the one that the run was accepted for. */
  readonly recheck: (request: gateMessage.RunRequest) => Fault | undefined;
  /** Load for the last event. */
  readonly load: (priority: number) => gateMessage.Load;
  /** The engine broke a connection: worth a look. */
  readonly suspect: () => void;
  /** The target counted the tokens of a request; `expected` is what the index said of its cache. */
  readonly counted: (request: gateMessage.RunRequest, usage: Usage) => void;
}

const EMPTY = new Uint8Array(0);

type Stage = 'queued' | 'sent' | 'ended';

/** One attempt at the target. It lives on when the connection that started it breaks. */
export class Run {
  readonly buffer: EventBuffer;
  private readonly abort = new AbortController();
  private stage: Stage = 'queued';
  private outcome: Ran = 'may-have-run';
  private readers = 0;
  private sentAt = 0;
  private servedBy?: string;
  private onDelivered?: () => void;
  private stopGrace?: () => void;
  private readonly stopDeadline: () => void;
  private readonly span: HopSpan;

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
    const measure = context.meter.measure(request.priority, uncached);
    const result = await this.work(measure);
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
    if (this.stage !== 'sent') return;
    const old = this.servedBy === undefined ? this.sentAt < oldSeenAt : this.servedBy !== incarnation;
    if (old) this.stop(fault('target-lost', 'the engine has restarted'));
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

  private async work(measure: Measure): Promise<Result<Usage | undefined, Fault>> {
    const { slots, clock, metrics } = this.context;
    const queuedAt = clock.monotonic();
    const slot = await slots.acquire(this.request.priority, this.abort.signal);
    metrics.timing(agentMetrics.queueTime, clock.monotonic() - queuedAt);
    if (slot.isErr()) return err({ ...this.reason(slot.error), ran: 'not-run' });
    try {
      // A Cancel that came with the slot has been answered "not run".
      if (this.abort.signal.aborted) return err(this.reason(fault('cancelled', 'cancelled')));
      // The engine may have restarted, or changed its weights, while the run waited.
      const stale = this.context.recheck(this.request);
      if (stale !== undefined) return err(stale);
      this.stage = 'sent';
      return await this.forward(measure);
    } finally {
      slot.value.release();
    }
  }

  private async forward(measure: Measure): Promise<Result<Usage | undefined, Fault>> {
    const { engine, clock, metrics } = this.context;
    const hop = startHop('engine.send', 'client', { parent: this.span });
    const request = this.engineRequest(hop);
    this.sentAt = clock.monotonic();
    measure.sent();
    const opened = await engine.send(request, this.abort.signal);
    if (opened.isErr()) return this.lost(hop, request, opened.error);
    this.servedBy = opened.value.incarnation;
    // Another process than the one that the run was accepted for: the index is of no use any more.
    if (this.servedBy !== undefined && !isOfEngine(this.incarnation, this.servedBy)) this.context.suspect();
    this.buffer.append(headEvent(opened.value));
    let answer = opened.value;
    for (let resumes = 0; ; resumes++) {
      const result = await this.pump(answer, () => {
        measure.firstToken();
        metrics.timing(agentMetrics.firstToken, clock.monotonic() - this.sentAt);
      });
      if (result === undefined) break;
      const next = resumes < MAX_RESUMES ? await this.resume(request, answer, result) : err(result);
      if (next.isErr()) return this.lost(hop, request, next.error);
      answer = next.value;
    }
    endHop(hop);
    return ok(answer.usage?.());
  }

  /** Passes an answer's body on. @returns the fault that broke it. */
  private async pump(answer: EngineAnswer, onFirst: () => void): Promise<Fault | undefined> {
    const { signal } = this.abort;
    let first = true;
    try {
      for await (const value of answer.body) {
        if (first) onFirst();
        first = false;
        this.buffer.append({ case: 'chunk', value });
        if (!this.buffer.hasRoom()) await this.buffer.room(signal);
        if (signal.aborted) return this.reason(fault('cancelled', 'cancelled'));
      }
      return undefined;
    } catch (error) {
      return this.reason(broken(error));
    }
  }

  /**
   * Continues a broken answer at the engine that began it. Only whole events were passed on, so the next one
   * by number follows without loss or repetition. Another incarnation knows nothing of the answer.
   */
  private async resume(
    request: EngineRequest,
    answer: EngineAnswer,
    cause: Fault,
  ): Promise<Result<EngineAnswer, Fault>> {
    const { engine, clock, log, metrics } = this.context;
    this.context.suspect();
    const { signal } = this.abort;
    if (engine.resume === undefined || answer.events === undefined || signal.aborted) return err(cause);
    await clock.sleep(RESUME_PAUSE_MS, signal).catch(() => undefined);
    const from = answer.events();
    const next = await engine.resume(request, from, signal);
    if (next.isErr()) return err({ ...cause, message: `${cause.message}; ${next.error.message}` });
    if (next.value.incarnation !== answer.incarnation) return err(cause);
    metrics.count(agentMetrics.resumes, 1, { side: 'engine' });
    log.event(agentEvents.runResumed, { attemptId: request.attemptId, from, cause: cause.message });
    const { events } = next.value;
    return ok({ ...next.value, events: events === undefined ? undefined : () => from + events() });
  }

  private async lost(hop: HopSpan, request: EngineRequest, cause: Fault): Promise<Result<never, Fault>> {
    const reason = this.reason(cause);
    endHop(hop, reason.kind);
    this.context.suspect();
    if (cause.ran === 'not-run') return err(reason);
    await this.cancelAtEngine(request.attemptId);
    return err({ ...reason, ran: 'may-have-run' });
  }

  /** A connection that is cut tells some engines nothing: without this they would work on for nobody. */
  private async cancelAtEngine(attemptId: string): Promise<void> {
    const { engine, clock, log } = this.context;
    const bound = new AbortController();
    const calledOff = clock.after(CANCEL_TIMEOUT_MS, () => {
      bound.abort(new Error('no answer in time'));
    });
    const cancelled = await engine.cancel(attemptId, bound.signal);
    calledOff();
    if (cancelled.isErr()) log.event(agentEvents.cancelFailed, { attemptId, error: cancelled.error.message });
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

  private reason(otherwise: Fault): Fault {
    const { reason } = this.abort.signal as { reason: unknown };
    return reason instanceof StopError ? { ...reason.fault, ran: otherwise.ran } : otherwise;
  }

  private engineRequest(hop: HopSpan): EngineRequest {
    const { request } = this;
    const traced = Object.entries(carrierOf(hop)).map(([name, value]) => ({ name, value }));
    const headers = request.headers.filter(({ name }) => !traceHeaders.has(name.toLowerCase()));
    return {
      requestId: request.requestId,
      attemptId: request.attemptId,
      method: request.method,
      path: request.path,
      headers: [...headers, ...traced],
      body: request.body,
      priority: request.priority,
      cacheSalt: request.customer,
      deadlineMs: request.deadlineMs,
      idempotent: request.idempotent,
    };
  }
}

/** Why a run is stopped from outside. */
class StopError extends Error {
  constructor(readonly fault: Fault) {
    super(fault.message);
  }
}

const traceHeaders: ReadonlySet<string> = new Set(['traceparent', 'tracestate']);

function headEvent({ status, headers }: EngineAnswer): EventBody {
  return { case: 'head', value: create(gateMessage.HeadSchema, { status, headers: [...headers] }) };
}
