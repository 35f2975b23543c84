/** One call to the engine: sends the request, forwards the answer and resumes it when its connection breaks. */
import { create } from '@bufbuild/protobuf';
import { carrierOf, endHop, fault, startHop } from '@jasmineroute/core';
import type { Fault, HopSpan } from '@jasmineroute/core';
import { brokenStreamFault } from '@jasmineroute/engine';
import type { EngineAnswer, EngineRequest, Usage } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import type { RequestMeasurement } from '../load/index.js';
import { agentMetrics } from '../metrics.js';
import { isOfEngine } from '../watch/incarnation.js';
import type { EventBody, EventBuffer } from './eventBuffer.js';
import type { RunContext } from './runContext.js';
import { stopReasonOr } from './stopError.js';

/** Timeout of a cancellation at the engine. */
const CANCEL_TIMEOUT_MS = 1_000;

/** Most resumes in a row that yield no further event. */
const MAX_RESUMES_WITHOUT_PROGRESS = 3;

/** Pause before an answer is resumed. */
const RESUME_PAUSE_MS = 50;

const traceHeaders: ReadonlySet<string> = new Set(['traceparent', 'tracestate']);

/** The run of a call and where its answer goes. */
export interface EngineCallParts {
  readonly request: gateMessage.RunRequest;
  /** Incarnation that the run was accepted for. */
  readonly incarnation: string;
  readonly span: HopSpan;
  /** Receives the events of the answer. */
  readonly buffer: EventBuffer;
  /** Aborts the call. */
  readonly signal: AbortSignal;
}

/** Used for one run. */
export class EngineCall {
  private sentAt = 0;
  private servedBy?: string;

  constructor(
    private readonly context: RunContext,
    private readonly parts: EngineCallParts,
  ) {}

  /** Whether the call was sent to an engine process that has been replaced by the given incarnation. */
  isLost(incarnation: string, oldSeenAt: number): boolean {
    return this.servedBy === undefined ? this.sentAt < oldSeenAt : this.servedBy !== incarnation;
  }

  /** Sends the request and forwards the answer to the buffer. Never rejects. */
  async forward(measurement: RequestMeasurement): Promise<Result<Usage | undefined, Fault>> {
    const { engine, clock } = this.context;
    const hop = startHop('engine.send', 'client', { parent: this.parts.span });
    const request = this.engineRequest(hop);
    this.sentAt = clock.monotonic();
    measurement.sent();
    const opened = await engine.send(request, this.parts.signal);
    const done = opened.isOk()
      ? await this.forwardAnswer(request, opened.value, measurement)
      : err(opened.error);
    if (done.isErr()) return err(await this.afterFailure(hop, request, done.error));
    endHop(hop);
    return ok(done.value.usage?.());
  }

  /** Forwards an answer to its end, resuming it on new connections when needed. @returns the last connection. */
  private async forwardAnswer(
    request: EngineRequest,
    opened: EngineAnswer,
    measurement: RequestMeasurement,
  ): Promise<Result<EngineAnswer, Fault>> {
    this.forwardHead(opened);
    let answer = opened;
    for (let resumes = 0; ; resumes++) {
      const before = answer.events?.();
      const cause = await this.forwardBody(answer, measurement);
      if (cause === undefined) return ok(answer);
      if (answer.events?.() !== before) resumes = 0;
      if (resumes === MAX_RESUMES_WITHOUT_PROGRESS) return err(cause);
      const next = await this.resume(request, answer, cause);
      if (next.isErr()) return next;
      answer = next.value;
    }
  }

  private forwardHead({ status, headers, incarnation }: EngineAnswer): void {
    this.servedBy = incarnation;
    // The run was accepted for another engine process, so the index is out of date.
    if (incarnation !== undefined && !isOfEngine(this.parts.incarnation, incarnation)) this.context.suspect();
    const head: EventBody = {
      case: 'head',
      value: create(gateMessage.HeadSchema, { status, headers: [...headers] }),
    };
    this.parts.buffer.append(head);
  }

  /** Forwards the body of an answer. @returns the fault that interrupted it, if any. */
  private async forwardBody(
    answer: EngineAnswer,
    measurement: RequestMeasurement,
  ): Promise<Fault | undefined> {
    const { signal, buffer } = this.parts;
    try {
      for await (const value of answer.body) {
        measurement.firstToken();
        buffer.append({ case: 'chunk', value });
        if (!buffer.hasRoom()) await buffer.whenRoom(signal);
        if (signal.aborted)
          return stopReasonOr(signal, fault('cancelled', 'cancelled', { ran: 'may-have-run' }));
      }
      return undefined;
    } catch (error) {
      return stopReasonOr(signal, brokenStreamFault(error));
    }
  }

  /**
   * Resumes an interrupted answer at the engine process that started it. Only whole events were forwarded, so the
   * answer continues with the next event number, without loss or repetition. A new incarnation has no such answer.
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

  /** Once the request was sent, only an explicit refusal by the engine proves that it did not run. */
  private async afterFailure(hop: HopSpan, request: EngineRequest, cause: Fault): Promise<Fault> {
    const { signal } = this.parts;
    const reason = stopReasonOr(signal, cause);
    endHop(hop, reason.kind);
    this.context.suspect();
    if (cause.ran === 'not-run') return reason;
    const cancelled = this.cancelAtEngine(request.attemptId);
    // After a stop no caller waits. After a lost answer the caller retries elsewhere, which must not be delayed.
    if (signal.aborted) await cancelled;
    return { ...reason, ran: 'may-have-run' };
  }

  /** Some engines do not notice a closed connection, and would go on generating without this call. */
  private async cancelAtEngine(attemptId: string): Promise<void> {
    const { engine, clock, log } = this.context;
    const timeout = new AbortController();
    const cancelTimer = clock.after(CANCEL_TIMEOUT_MS, () => {
      timeout.abort(new Error('the engine did not confirm the cancellation in time'));
    });
    const cancelled = await engine.cancel(attemptId, timeout.signal);
    cancelTimer();
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
