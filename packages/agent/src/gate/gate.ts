/** The gate service: every request to the target passes here. */
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
import { Attempts, Run, lastEvent, ranMessages } from '../run/index.js';
import type { AttemptRecord, BufferBounds, RunContext } from '../run/index.js';
import { isOfAgent } from '../watch/incarnation.js';
import { checkArrival, checkSending, isLoaded } from './check.js';
import type { GateTarget } from './target.js';
import { Workload } from './workload.js';

/** Bounds of a gate, milliseconds and bytes. */
export interface GateBounds {
  readonly queue: number;
  readonly readerGraceMs: number;
  readonly keepMs: number;
  readonly keepOnceMs: number;
  readonly attemptWindowMs: number;
  readonly bufferBytes: number;
}

/** What a gate needs. */
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
  /** The engine broke a connection. */
  readonly suspect: () => void;
}

type RunEvents = AsyncIterable<gateMessage.RunEvent>;

/** Largest answer that is kept whole for a run that must not be repeated. */
const ONCE_BYTES = 1024 * 1024;

/**
 * How the gate's messages are coded. Chunks are not compressed: they are small, and the time for it is many
 * times that of forwarding them.
 */
export const gateCoding = { acceptCompression: [] };

/** The gate of one target. */
export class Gate {
  private readonly attempts: Attempts;
  private readonly workload: Workload;
  private readonly startedAt: number;
  private active = 0;
  private idleWaiters: (() => void)[] = [];

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

  /** Runs an attempt, or attaches to it when it is here already: it is never run twice. */
  run(request: gateMessage.RunRequest, context: HandlerContext): RunEvents {
    const known = this.attempts.find(request.attemptId);
    if (known !== undefined) return this.again(request, known, context.signal);
    return this.admit(request).match(
      (run) => run.read(0, context.signal),
      (cause) => this.refusal(request, cause),
    );
  }

  /** Goes on with a known attempt. */
  resume(request: gateMessage.ResumeRequest, context: HandlerContext): RunEvents {
    const known = this.attempts.find(request.attemptId);
    if (known?.type === 'ended') throw new ConnectError('the events are not kept any more', Code.OutOfRange);
    if (known?.type !== 'run') throw new ConnectError('no such attempt here', Code.NotFound);
    this.options.metrics.count(agentMetrics.resumes, 1, { side: 'entry' });
    return known.run.read(Number(request.fromOrdinal), context.signal);
  }

  /** Stops an attempt and says what is proved of it. */
  cancel(request: gateMessage.CancelRequest): { ran: gateMessage.Ran } {
    const ran = this.cancelled(request);
    this.options.metrics.count(agentMetrics.cancels, 1, { ran: gateMessage.Ran[ran] });
    return { ran };
  }

  /** Says what the target has cached of a prompt, and how busy it is. */
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

  /** Load as messages carry it. */
  load(priority: number): gateMessage.Load {
    return this.workload.load(priority);
  }

  /** Readers of runs that have not ended. */
  reading(): number {
    let count = 0;
    for (const run of this.attempts.open()) count += run.reading;
    return count;
  }

  /** Runs that the target may be at work on, for a model. */
  sentFor(model: string): number {
    let count = 0;
    for (const run of this.attempts.open()) if (run.sent && run.request.model === model) count++;
    return count;
  }

  /** The engine is another process: nothing that the old one worked on will ever be answered. */
  engineReplaced(incarnation: string, oldSeenAt: number): void {
    for (const run of this.attempts.open()) run.engineReplaced(incarnation, oldSeenAt);
  }

  /** The capacity has changed. */
  refresh(): void {
    this.workload.slots.refresh();
  }

  /** Resolves when no run is left, and the readers have had the last events. */
  idle(): Promise<void> {
    if (this.active === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }

  /** Ends all runs at once. */
  stopAll(): void {
    for (const run of this.attempts.open()) run.stop(fault('stopping', 'the agent stops'));
  }

  private admit(request: gateMessage.RunRequest): Result<Run, Fault> {
    const { target } = this.options;
    const refused = checkArrival(target, request);
    if (refused !== undefined) return err(refused);
    const late = this.workload.checkDeadline(request);
    if (late !== undefined) return err(late);
    const cachedTokens = this.workload.likelyTokens(request);
    const run = new Run(this.runContext(request), request, target.incarnation(), cachedTokens);
    if (!this.attempts.begin(request.attemptId, run)) {
      run.stop(fault('overloaded', 'too many attempts to remember'));
      return err(fault('overloaded', 'too many attempts to remember'));
    }
    void this.work(run);
    return ok(run);
  }

  private async work(run: Run): Promise<void> {
    const { metrics, bounds, clock } = this.options;
    this.active++;
    metrics.count(agentMetrics.runs);
    this.gauge();
    await run.execute();
    const { attemptId, idempotent } = run.request;
    run.release();
    this.attempts.end(attemptId, run);
    clock.after(idempotent ? bounds.keepMs : bounds.keepOnceMs, () => {
      this.attempts.strip(attemptId, run.ran);
      run.buffer.clear();
    });
    this.gauge();
    // A reader whose connection broke at the very end comes back for the rest.
    await run.delivered(bounds.readerGraceMs);
    this.active--;
    if (this.active > 0) return;
    for (const wake of this.idleWaiters.splice(0)) wake();
  }

  private again(request: gateMessage.RunRequest, known: AttemptRecord, signal: AbortSignal): RunEvents {
    const { log } = this.options;
    if (known.type === 'cancelled') {
      log.event(agentEvents.tombstoneRefused, { attemptId: request.attemptId });
      return this.refusal(request, fault('cancelled', 'cancelled before it arrived'));
    }
    log.event(agentEvents.duplicateRun, { attemptId: request.attemptId });
    if (known.type === 'ended') throw new ConnectError('the events are not kept any more', Code.OutOfRange);
    return known.run.read(0, signal);
  }

  private refusal(request: gateMessage.RunRequest, cause: Fault): RunEvents {
    const { metrics, log } = this.options;
    const { requestId, attemptId, priority } = request;
    metrics.count(agentMetrics.refusals, 1, { kind: cause.kind });
    log.event(agentEvents.runRefused, { requestId, attemptId, kind: cause.kind, message: cause.message });
    const event = lastEvent({ ...cause, ran: 'not-run' }, this.load(priority));
    return only(create(gateMessage.RunEventSchema, { requestId, ordinal: 0n, event }));
  }

  /**
   * What Cancel may say. "Not run" needs a proof: the attempt waits here and is taken out, or it has never
   * been here and is recorded so that it is refused when it arrives later. An agent that started after the
   * attempt was sent cannot know what its predecessor did with it.
   */
  private cancelled(request: gateMessage.CancelRequest): gateMessage.Ran {
    const known = this.attempts.find(request.attemptId);
    if (known?.type === 'run') {
      const { run } = known;
      const { ran } = run;
      run.stop(fault('cancelled', 'cancelled by the entry'));
      return ranMessages[ran];
    }
    if (known?.type === 'ended') return ranMessages[known.ran];
    if (known === undefined && !this.attempts.cancelUnknown(request.attemptId)) {
      return gateMessage.Ran.MAY_HAVE_RUN;
    }
    return this.remembersAll(request.incarnation) ? gateMessage.Ran.NOT_RUN : gateMessage.Ran.MAY_HAVE_RUN;
  }

  private remembersAll(incarnation: string): boolean {
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
      bounds: bufferBounds(bounds, request.idempotent),
      readerGraceMs: bounds.readerGraceMs,
      recheck: (waited) => checkSending(target, waited),
      load: (priority) => this.load(priority),
      suspect,
      counted: (counted, usage) => {
        this.counted(counted, usage);
      },
    };
  }

  private counted(request: gateMessage.RunRequest, usage: Usage): void {
    const { metrics, index } = this.options;
    metrics.count(agentMetrics.promptTokens, usage.promptTokens);
    metrics.count(agentMetrics.cachedTokens, usage.cachedTokens);
    metrics.count(agentMetrics.outputTokens, usage.outputTokens);
    metrics.gauge(agentMetrics.indexBlocks, index.counts().blocks);
    index.confirm(decodeChain(request.chain), Math.floor(usage.cachedTokens / BLOCK_TOKENS));
  }

  private gauge(): void {
    this.options.metrics.gauge(agentMetrics.running, this.workload.slots.running);
    this.options.metrics.gauge(agentMetrics.queued, this.workload.slots.queued);
    this.options.metrics.gauge(agentMetrics.reading, this.reading());
  }
}

async function* only(event: gateMessage.RunEvent): RunEvents {
  yield await Promise.resolve(event);
}

/** A run that must not be repeated keeps its whole answer, up to a bound, for whoever asks for it later. */
function bufferBounds(bounds: GateBounds, idempotent: boolean): BufferBounds {
  if (!idempotent) return { unread: ONCE_BYTES, behind: ONCE_BYTES, behindMs: Number.POSITIVE_INFINITY };
  const { bufferBytes, readerGraceMs } = bounds;
  return { unread: bufferBytes, behind: bufferBytes, behindMs: 2 * readerGraceMs };
}
