/** The attempts of one call: choice of a target, sending, retries, and continuation on another target. */
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { answerOf, endHop, fault, startHop } from '@jasmineroute/core';
import type { Fault, FaultKind, Ran } from '@jasmineroute/core';
import { promptOf } from '@jasmineroute/engine';
import type { Prompt } from '@jasmineroute/engine';

import { Answer } from '../answer/index.js';
import { servedModel } from '../call/index.js';
import type { RequestedModel } from '../call/index.js';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';
import { ClaimedSender } from './claimedSender.js';
import type { Job } from '@jasmineroute/routing';
import type { EntryContext } from './context.js';
import type { Placement } from './decisions.js';
import { jobOf } from './job.js';
import { combineRunStates } from './plan.js';
import type { FailureHandler, AttemptPlan, PlacedAttempt, NextAttempt, ActiveCall } from './plan.js';
import { Sender } from './sender.js';

/** Transient faults, of a connection or of a target that is being replaced: the same target may soon succeed. */
const transientFaults: ReadonlySet<string> = new Set<FaultKind>([
  'target-unreachable',
  'target-lost',
  'target-leaving',
  'wrong-incarnation',
  'stream-broken',
  'answer-mismatch',
]);

const SECOND_ROUND_DELAY_MS = 300;
const RETRY_AFTER_MS = 1_000;

/** Makes the attempts of one call sequentially. */
export class Attempts implements FailureHandler {
  private readonly excluded = new Set<string>();
  private readonly answer: Answer;
  private readonly sender: Sender;
  private readonly claimed: ClaimedSender;
  private attemptCount = 0;
  /** Combined run state of the finished attempts. */
  private ran: Ran = 'not-run';
  private lastFault: Fault | undefined;
  /** The model version that the last attempt asked for. */
  private model: RequestedModel | undefined;
  /** Software version of the target that began the answer; undefined: it has not begun. */
  private softwareVersion: string | undefined;

  constructor(
    private readonly context: EntryContext,
    private readonly active: ActiveCall,
  ) {
    const { settings, clock } = context;
    const { call, reply } = active;
    this.answer = new Answer(call, reply, clock, {
      holdBytes: settings.holdBytes,
      keepBytes: call.idempotent ? settings.continuationBytes : call.service.claims.answerBytes,
      pingMs: settings.callerPingMs,
    });
    this.sender = new Sender(context, active, this.answer);
    const parts = { sender: this.sender, answer: this.answer, failureHandler: this };
    this.claimed = new ClaimedSender(context, active, parts);
  }

  /** What is known now about whether a target ran the request. */
  runState(): Ran {
    return this.sender.busy ? combineRunStates(this.ran, 'may-have-run') : this.ran;
  }

  /** Makes attempts until one gives the complete answer or no further attempt is allowed. */
  async run(): Promise<void> {
    this.context.budget.deposit();
    let step: NextAttempt = { body: this.active.call.body, tokens: 0 };
    while (step !== undefined && !this.active.stop.aborted) step = await this.next(step);
  }

  private async next(plan: AttemptPlan): Promise<NextAttempt> {
    const { call, span, stop, remainingMs } = this.active;
    this.attemptCount += 1;
    const model = this.currentModel();
    const prompt = this.promptOf(plan);
    const job = jobOf(call, model, prompt, this.excluded, remainingMs(), this.softwareVersion);
    const decide = startHop('decide', 'internal', { parent: span });
    const placed = await this.place(model, job);
    endHop(decide, placed.isErr() ? placed.error.kind : undefined);
    // After a stall of the process, the event loop needs some turns to notice callers that disconnected meanwhile.
    await this.context.stalls.waitUntilCaughtUp();
    if (stop.aborted) return undefined;
    if (placed.isErr()) return this.fail(this.lastFault ?? placed.error);
    const placement = placed.value;
    const ref = {
      requestId: call.requestId,
      attemptId: this.context.attemptIds.next(call.requestId),
      incarnation: placement.candidate.engineIncarnation,
    };
    const attempt = { plan, job, placement, ref };
    return call.idempotent ? this.sendRepeatable(attempt) : this.claimed.send(attempt);
  }

  /** Chooses a target. When all have failed and the last fault is transient, they are all tried again after a delay. */
  private async place(model: RequestedModel | undefined, job: Job): Promise<Result<Placement, Fault>> {
    const { decisions, clock } = this.context;
    const { call, stop } = this.active;
    const placed = await decisions.place(call, model, job);
    if (placed.isOk() || this.lastFault === undefined) return placed;
    if (this.excluded.size === 0 || !transientFaults.has(this.lastFault.kind)) return placed;
    await clock.sleep(SECOND_ROUND_DELAY_MS, stop).catch(() => undefined);
    this.excluded.clear();
    return decisions.place(call, model, job);
  }

  /** The model version for the next attempt. An answer that has started keeps the version that it started with. */
  private currentModel(): RequestedModel | undefined {
    const { call } = this.active;
    if (call.model === undefined) return undefined;
    if (this.model === undefined || !this.answer.hasStarted) {
      this.model = servedModel(call, call.model, this.context.view());
    }
    return this.model;
  }

  private promptOf(plan: AttemptPlan): Prompt | undefined {
    const { call } = this.active;
    if (call.model === undefined || plan.body === call.body) return call.model?.prompt;
    return promptOf(call.path, plan.body).unwrapOr(call.model.prompt);
  }

  /** Sends an attempt of an idempotent call. */
  private async sendRepeatable(attempt: PlacedAttempt): Promise<NextAttempt> {
    const outcome = await this.sender.send(attempt);
    return match(outcome)
      .with({ type: 'ended' }, () => this.handleEnd(attempt))
      .with({ type: 'refused' }, { type: 'failed' }, (failure) => this.retryOrFail(failure.fault, attempt))
      .with({ type: 'stopped' }, () => this.handleStop(attempt))
      .exhaustive();
  }

  private handleStop(attempt: PlacedAttempt): NextAttempt {
    this.context.background.track(this.sender.cancel(attempt));
    return undefined;
  }

  private handleEnd(attempt: PlacedAttempt): NextAttempt {
    if (!this.answer.hasTargetError) {
      const problem = this.answer.finish();
      return problem === undefined ? undefined : this.retryOrFail(problem, attempt);
    }
    const problem = fault('engine-failed', `the target answered ${this.answer.targetStatus}`);
    // Without another attempt, the target's own error is the answer, unless a stream to the caller has started.
    return this.retryOrFail(problem, attempt, () =>
      this.answer.hasStarted ? this.fail(problem) : this.finishAnswer(),
    );
  }

  private finishAnswer(): NextAttempt {
    this.answer.finish();
    return undefined;
  }

  retryOrFail(
    problem: Fault,
    { placement }: PlacedAttempt,
    giveUp = (): NextAttempt => this.fail(problem),
  ): NextAttempt {
    this.ran = combineRunStates(this.ran, problem.ran);
    this.lastFault = problem;
    this.excluded.add(placement.candidate.name);
    if (this.answer.hasStarted) this.softwareVersion ??= placement.candidate.softwareVersion ?? '';
    if (this.answer.isEndMarkerSent) return this.finishAnswer();
    if (!this.mayRetry(problem.kind)) return giveUp();
    const recovery = this.answer.recover();
    if (recovery.type === 'impossible') return this.fail(problem);
    if (recovery.type === 'whole') return this.finishAnswer();
    this.recordRetry(problem, recovery.tokens);
    return recovery;
  }

  mayRetry(kind: Fault['kind']): boolean {
    const { settings, budget } = this.context;
    if (this.active.stop.aborted || this.attemptCount >= settings.maxAttempts) return false;
    return answerOf(kind).retryable && budget.withdraw();
  }

  fail(problem: Fault): NextAttempt {
    this.ran = combineRunStates(this.ran, problem.ran);
    const { call, reply } = this.active;
    // The caller should retry only where the request is idempotent and the fault may be transient.
    const later = call.idempotent && answerOf(problem.kind).retryable ? RETRY_AFTER_MS : undefined;
    reply.fail({ ...problem, ran: this.ran, retryAfterMs: problem.retryAfterMs ?? later });
    return undefined;
  }

  private recordRetry(problem: Fault, tokens: number): void {
    const { log, metrics } = this.context;
    const { requestId } = this.active.call;
    if (this.answer.hasStarted) metrics.count(entryMetrics.continuations);
    const kind = this.answer.hasStarted ? entryEvents.streamContinued : entryEvents.attemptRetried;
    log.event(kind, { requestId, after: problem.kind, tokens });
  }
}
