/** One run's conversation with the engine: sending, passing the answer on, continuing it when it breaks. */
import { create } from '@bufbuild/protobuf';
import { carrierOf, endHop, fault, startHop } from '@jasmineroute/core';
import type { Fault, HopSpan } from '@jasmineroute/core';
import { brokenStreamFault } from '@jasmineroute/engine';
import type { EngineAnswer, EngineRequest, Usage } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import type { Measure } from '../load/index.js';
import { agentMetrics } from '../metrics.js';
import { isOfEngine } from '../watch/incarnation.js';
import type { EventBody, EventBuffer } from './buffer.js';
import type { RunContext } from './context.js';
import { reasonOf } from './stop.js';

/** How long the engine may take to confirm a cancellation. */
const CANCEL_TIMEOUT_MS = 1_000;

/** How often an answer is continued that gets no further in between. */
const MAX_FUTILE_RESUMES = 3;

/** Pause before an answer is continued. */
const RESUME_PAUSE_MS = 50;

const traceHeaders: ReadonlySet<string> = new Set(['traceparent', 'tracestate']);

/** What the call is for. */
export interface EngineCallParts {
  readonly request: gateMessage.RunRequest;
  /** Incarnation that the run was accepted for. */
  readonly incarnation: string;
  readonly span: HopSpan;
  /** Where the answer goes. */
  readonly buffer: EventBuffer;
  /** Stops the call. */
  readonly signal: AbortSignal;
}

/** Made for one use. */
export class EngineCall {
  private sentAt = 0;
  private servedBy?: string;

  constructor(
    private readonly context: RunContext,
    private readonly parts: EngineCallParts,
  ) {}

  /** Whether the call is at work on a process that is gone, now that the engine is another one. */
  isLost(incarnation: string, oldSeenAt: number): boolean {
    return this.servedBy === undefined ? this.sentAt < oldSeenAt : this.servedBy !== incarnation;
  }

  /** Sends the request and passes the answer on. Never rejects. */
  async forward(measure: Measure): Promise<Result<Usage | undefined, Fault>> {
    const { engine, clock } = this.context;
    const hop = startHop('engine.send', 'client', { parent: this.parts.span });
    const request = this.engineRequest(hop);
    this.sentAt = clock.monotonic();
    measure.sent();
    const opened = await engine.send(request, this.parts.signal);
    const done = opened.isOk() ? await this.follow(request, opened.value, measure) : err(opened.error);
    if (done.isErr()) return err(await this.lost(hop, request, done.error));
    endHop(hop);
    return ok(done.value.usage?.());
  }

  /** Passes an answer on to its end, over as many connections as it takes. @returns its last part. */
  private async follow(
    request: EngineRequest,
    opened: EngineAnswer,
    measure: Measure,
  ): Promise<Result<EngineAnswer, Fault>> {
    this.begin(opened);
    let answer = opened;
    for (let futile = 0; ; futile++) {
      const before = answer.events?.();
      const cause = await this.pump(answer, measure);
      if (cause === undefined) return ok(answer);
      if (answer.events?.() !== before) futile = 0;
      if (futile === MAX_FUTILE_RESUMES) return err(cause);
      const next = await this.resume(request, answer, cause);
      if (next.isErr()) return next;
      answer = next.value;
    }
  }

  private begin({ status, headers, incarnation }: EngineAnswer): void {
    this.servedBy = incarnation;
    // Another process than the one that the run was accepted for: the index is of no use any more.
    if (incarnation !== undefined && !isOfEngine(this.parts.incarnation, incarnation)) this.context.suspect();
    const head: EventBody = {
      case: 'head',
      value: create(gateMessage.HeadSchema, { status, headers: [...headers] }),
    };
    this.parts.buffer.append(head);
  }

  /** Passes an answer's body on. @returns the fault that broke it. */
  private async pump(answer: EngineAnswer, measure: Measure): Promise<Fault | undefined> {
    const { signal, buffer } = this.parts;
    try {
      for await (const value of answer.body) {
        measure.firstToken();
        buffer.append({ case: 'chunk', value });
        if (!buffer.hasRoom()) await buffer.room(signal);
        if (signal.aborted) return reasonOf(signal, fault('cancelled', 'cancelled', { ran: 'may-have-run' }));
      }
      return undefined;
    } catch (error) {
      return reasonOf(signal, brokenStreamFault(error));
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
    const { signal } = this.parts;
    this.context.suspect();
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

  /** After it went out, only the engine's own word that it refused it proves that a request did not run. */
  private async lost(hop: HopSpan, request: EngineRequest, cause: Fault): Promise<Fault> {
    const { signal } = this.parts;
    const reason = reasonOf(signal, cause);
    endHop(hop, reason.kind);
    this.context.suspect();
    if (cause.ran === 'not-run') return reason;
    const cancelled = this.cancelAtEngine(request.attemptId);
    // Whoever stopped the run is not waiting; whoever lost its answer tries again elsewhere at once.
    if (signal.aborted) await cancelled;
    return { ...reason, ran: 'may-have-run' };
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

  private engineRequest(hop: HopSpan): EngineRequest {
    const { request } = this.parts;
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
