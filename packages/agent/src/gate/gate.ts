/** The gate service, through which all requests reach the target. */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import type { Engine, Usage } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import { BLOCK_TOKENS, decodeChain } from '@jasmineroute/routing';
import type { BlockIndex } from '@jasmineroute/routing';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { agentEvents } from '../events.js';
import { agentMetrics } from '../metrics.js';
import { Attempts, Run, finalEvent, ranMessages } from '../run/index.js';
import type { AttemptRecord, BufferBounds, RunContext } from '../run/index.js';
import { isOfAgent } from '../watch/incarnation.js';
import { checkArrival, checkDispatch, isLoaded } from './check.js';
import type { GateTarget } from './gateTarget.js';
import { Workload } from './workload.js';

/** Limits of a gate, in milliseconds and bytes; see the settings of the agent. */
export interface GateBounds {
  readonly queue: number;
  readonly readerGraceMs: number;
  readonly keepMs: number;
  readonly keepOnceMs: number;
  readonly attemptWindowMs: number;
  readonly bufferBytes: number;
}

/** Dependencies and settings of a gate. */
export interface GateOptions {
  readonly target: GateTarget;
  readonly engine: Engine;
  readonly index: BlockIndex;
  /** Incarnation of this agent process. */
  readonly incarnation: bigint;
  readonly bounds: GateBounds;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called when the engine broke a connection, to check its state at once. */
  readonly suspect: () => void;
}

type RunEvents = AsyncIterable<gateMessage.RunEvent>;

/** Largest answer of a non-idempotent run that is kept whole. */
const MAX_KEPT_ANSWER_BYTES = 1024 * 1024;

/**
 * Handler options of the gate service. Compression is off: chunks are small, and compressing them takes many times
 * as long as forwarding them.
 */
export const gateHandlerOptions = { acceptCompression: [] };

/** The gate of one target. */
export class Gate {
  private readonly attempts: Attempts;
  private readonly workload: Workload;
  private readonly startedAt: number;
  private active = 0;
  private drainWaiters: (() => void)[] = [];

  constructor(private readonly options: GateOptions) {
    const { clock, bounds, target, index } = options;
    this.attempts = new Attempts(clock, bounds.attemptWindowMs);
    this.workload = new Workload(target, index, bounds.queue, clock);
    this.startedAt = clock.monotonic();
  }

  /** The gate as a service of the RPC server. */
  service(): ServiceImpl<typeof gateMessage.Gate> {
    return {
      run: (request, context) => this.run(request, context),
      resume: (request, context) => this.resume(request, context),
      cancel: (request) => this.cancel(request),
      probe: (request) => this.probe(request),
    };
  }

  /** Starts an attempt, or attaches to it if it is already known: an attempt never runs twice. */
  run(request: gateMessage.RunRequest, context: HandlerContext): RunEvents {
    const known = this.attempts.find(request.attemptId);
    if (known !== undefined) return this.attachToKnown(request, known, context.signal);
    return this.admit(request).match(
      (run) => run.read(0, context.signal),
      (cause) => this.refusal(request, cause),
    );
  }

  /** Continues reading the events of a known attempt. */
  resume(request: gateMessage.ResumeRequest, context: HandlerContext): RunEvents {
    const known = this.attempts.find(request.attemptId);
    if (known?.type === 'ended')
      throw new ConnectError('the events of the attempt are no longer kept', Code.OutOfRange);
    if (known?.type !== 'run') throw new ConnectError('unknown attempt', Code.NotFound);
    this.options.metrics.count(agentMetrics.resumes, 1, { side: 'entry' });
    return known.run.read(Number(request.fromOrdinal), context.signal);
  }

  /** Stops an attempt and returns whether it has run, as far as that is certain. */
  cancel(request: gateMessage.CancelRequest): { ran: gateMessage.Ran } {
    const ran = this.cancelAttempt(request);
    this.options.metrics.count(agentMetrics.cancels, 1, { ran: gateMessage.Ran[ran] });
    return { ran };
  }

  /** Returns the cached part of a prompt and the load of the target. */
  probe(request: gateMessage.ProbeRequest): gateMessage.ProbeResponse {
    const { target } = this.options;
    const cachedTokens = this.workload.cachedTokens(request);
    const accepting =
      !target.leaving() && target.ready() && request.service === target.service && isLoaded(target, request);
    return create(gateMessage.ProbeResponseSchema, {
      incarnation: target.incarnation(),
      accepting,
      cachedTokens,
      load: this.load(request.priority),
      estimateMs: this.workload.expectedMs(request, cachedTokens),
      likelyTokens: this.workload.likelyTokens(request),
    });
  }

  /** The load as sent in messages. */
  load(priority: number): gateMessage.Load {
    return this.workload.load(priority);
  }

  /** Number of streams that read runs in progress. */
  openReaders(): number {
    let count = 0;
    for (const run of this.attempts.open()) count += run.openReaders;
    return count;
  }

  /** Number of runs of a model that have been sent to the target and have not ended. */
  inFlightRuns(model: string): number {
    let count = 0;
    for (const run of this.attempts.open()) if (run.isSent && run.request.model === model) count++;
    return count;
  }

  /** Stops the runs of the previous engine process, which will never answer them. */
  engineReplaced(incarnation: string, oldSeenAt: number): void {
    for (const run of this.attempts.open()) run.engineReplaced(incarnation, oldSeenAt);
  }

  /** Admits waiting runs after the capacity of the target has grown. */
  notifyCapacityChange(): void {
    this.workload.slots.admitWaiters();
  }

  /** Resolves when no run is left and the readers have received the final events. */
  whenDrained(): Promise<void> {
    if (this.active === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.drainWaiters.push(resolve);
    });
  }

  /** Stops all runs immediately. */
  stopAll(): void {
    for (const run of this.attempts.open()) run.stop(fault('stopping', 'the agent is stopping'));
  }

  private admit(request: gateMessage.RunRequest): Result<Run, Fault> {
    const { target } = this.options;
    const refused = checkArrival(target, request);
    if (refused !== undefined) return err(refused);
    const unmeetable = this.workload.checkDeadline(request);
    if (unmeetable !== undefined) return err(unmeetable);
    const cachedTokens = this.workload.likelyTokens(request);
    const run = new Run(this.runContext(request), request, target.incarnation(), cachedTokens);
    if (!this.attempts.begin(request.attemptId, run)) {
      run.stop(fault('overloaded', 'the limit of remembered attempts is reached'));
      return err(fault('overloaded', 'the limit of remembered attempts is reached'));
    }
    void this.execute(run);
    return ok(run);
  }

  private async execute(run: Run): Promise<void> {
    const { metrics, bounds, clock } = this.options;
    this.active++;
    metrics.count(agentMetrics.runs);
    this.updateGauges();
    await run.execute();
    const { attemptId, idempotent } = run.request;
    run.release();
    this.attempts.end(attemptId, run);
    clock.after(idempotent ? bounds.keepMs : bounds.keepOnceMs, () => {
      this.attempts.dropEvents(attemptId, run.ran);
      run.buffer.clear();
    });
    this.updateGauges();
    // A reader whose connection broke at the end may resume to get the remaining events.
    await run.whenDelivered(bounds.readerGraceMs);
    this.active--;
    if (this.active > 0) return;
    for (const wake of this.drainWaiters.splice(0)) wake();
  }

  private attachToKnown(
    request: gateMessage.RunRequest,
    known: AttemptRecord,
    signal: AbortSignal,
  ): RunEvents {
    const { log } = this.options;
    if (known.type === 'cancelled') {
      log.event(agentEvents.tombstoneRefused, { attemptId: request.attemptId });
      return this.refusal(request, fault('cancelled', 'the run was cancelled before it arrived'));
    }
    log.event(agentEvents.duplicateRun, { attemptId: request.attemptId });
    if (known.type === 'ended')
      throw new ConnectError('the events of the attempt are no longer kept', Code.OutOfRange);
    return known.run.read(0, signal);
  }

  private refusal(request: gateMessage.RunRequest, cause: Fault): RunEvents {
    const { metrics, log } = this.options;
    const { requestId, attemptId, priority } = request;
    metrics.count(agentMetrics.refusals, 1, { kind: cause.kind });
    log.event(agentEvents.runRefused, { requestId, attemptId, kind: cause.kind, message: cause.message });
    const event = finalEvent({ ...cause, ran: 'not-run' }, this.load(priority));
    return singleEvent(create(gateMessage.RunEventSchema, { requestId, ordinal: 0n, event }));
  }

  /**
   * The answer to Cancel. NOT_RUN requires proof: either the attempt is queued here and is removed, or it never
   * arrived and is recorded so that it is refused if it arrives later. An agent that started after the attempt was
   * sent cannot know whether its predecessor ran it.
   */
  private cancelAttempt(request: gateMessage.CancelRequest): gateMessage.Ran {
    const known = this.attempts.find(request.attemptId);
    if (known?.type === 'run') {
      const { run } = known;
      const { ran } = run;
      run.stop(fault('cancelled', 'cancelled by the entry'));
      return ranMessages[ran];
    }
    if (known?.type === 'ended') return ranMessages[known.ran];
    if (known === undefined && !this.attempts.recordCancelled(request.attemptId)) {
      return gateMessage.Ran.MAY_HAVE_RUN;
    }
    return this.isAttemptMemoryComplete(request.incarnation)
      ? gateMessage.Ran.NOT_RUN
      : gateMessage.Ran.MAY_HAVE_RUN;
  }

  private isAttemptMemoryComplete(incarnation: string): boolean {
    if (incarnation !== '') return isOfAgent(incarnation, this.options.incarnation);
    return this.options.clock.monotonic() - this.startedAt > this.options.bounds.attemptWindowMs;
  }

  private runContext(request: gateMessage.RunRequest): RunContext {
    const { engine, clock, log, metrics, bounds, target, suspect } = this.options;
    return {
      engine,
      clock,
      log,
      metrics,
      slots: this.workload.slots,
      meter: this.workload.meter,
      turns: this.workload.turns,
      prefillMs: (tokens) => this.workload.prefillMs(tokens),
      bounds: bufferBoundsOf(bounds, request.idempotent),
      readerGraceMs: bounds.readerGraceMs,
      recheckTarget: (waited) => checkDispatch(target, waited),
      load: (priority) => this.load(priority),
      suspect,
      onUsage: (finished, usage) => {
        this.recordUsage(finished, usage);
      },
    };
  }

  private recordUsage(request: gateMessage.RunRequest, usage: Usage): void {
    const { metrics, index } = this.options;
    metrics.count(agentMetrics.promptTokens, usage.promptTokens);
    metrics.count(agentMetrics.cachedTokens, usage.cachedTokens);
    metrics.count(agentMetrics.outputTokens, usage.outputTokens);
    metrics.gauge(agentMetrics.indexBlocks, index.counts().blocks);
    index.confirm(decodeChain(request.chain), Math.floor(usage.cachedTokens / BLOCK_TOKENS));
  }

  private updateGauges(): void {
    this.options.metrics.gauge(agentMetrics.running, this.workload.slots.running);
    this.options.metrics.gauge(agentMetrics.queued, this.workload.slots.queued);
    this.options.metrics.gauge(agentMetrics.reading, this.openReaders());
  }
}

async function* singleEvent(event: gateMessage.RunEvent): RunEvents {
  yield await Promise.resolve(event);
}

/** A non-idempotent run keeps its whole answer, up to a limit, as it may be requested later. */
function bufferBoundsOf(bounds: GateBounds, idempotent: boolean): BufferBounds {
  if (!idempotent)
    return {
      unread: MAX_KEPT_ANSWER_BYTES,
      behind: MAX_KEPT_ANSWER_BYTES,
      behindMs: Number.POSITIVE_INFINITY,
    };
  const { bufferBytes, readerGraceMs } = bounds;
  return { unread: bufferBytes, behind: bufferBytes, behindMs: 2 * readerGraceMs };
}
