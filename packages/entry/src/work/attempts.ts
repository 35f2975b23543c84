/** The attempts of one call: placement, sending, retries, continuation elsewhere. */
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { answerOf, endHop, fault, startHop } from '@jasmineroute/core';
import type { Fault, FaultKind, Ran } from '@jasmineroute/core';
import { promptOf } from '@jasmineroute/engine';
import type { Prompt } from '@jasmineroute/engine';

import { Answer } from '../answer/index.js';
import { servedModel } from '../call/index.js';
import type { ModelPart } from '../call/index.js';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';
import { ClaimedSender } from './claimed.js';
import type { Job } from '@jasmineroute/routing';
import type { WorkContext } from './context.js';
import type { Placement } from './decisions.js';
import { jobOf } from './job.js';
import { worse } from './plan.js';
import type { Aftermath, Plan, Sending, Step, Subject } from './plan.js';
import { Sender } from './sender.js';

/** Faults of a connection or of a target that is being replaced: the same target may do better soon. */
const passing: ReadonlySet<string> = new Set<FaultKind>([
  'target-unreachable',
  'target-lost',
  'target-leaving',
  'wrong-incarnation',
  'stream-broken',
  'answer-mismatch',
]);

const SECOND_ROUND_PAUSE_MS = 300;
const RETRY_AFTER_MS = 1_000;

/** Makes the attempts of one call, one after the other. */
export class Attempts implements Aftermath {
  private readonly excluded = new Set<string>();
  private readonly answer: Answer;
  private readonly sender: Sender;
  private readonly claimed: ClaimedSender;
  private count = 0;
  /** What the attempts that are over have done. */
  private ran: Ran = 'not-run';
  private lastFault: Fault | undefined;
  /** The weights of the last attempt. */
  private model: ModelPart | undefined;

  constructor(
    private readonly context: WorkContext,
    private readonly subject: Subject,
  ) {
    const { settings, clock } = context;
    const { call, reply } = subject;
    this.answer = new Answer(call, reply, clock, {
      holdBytes: settings.holdBytes,
      keepBytes: call.idempotent ? settings.continuationBytes : call.service.claims.answerBytes,
      pingMs: settings.callerPingMs,
    });
    this.sender = new Sender(context, subject, this.answer);
    const parts = { sender: this.sender, answer: this.answer, aftermath: this };
    this.claimed = new ClaimedSender(context, subject, parts);
  }

  /** What is known of the run at this moment. */
  known(): Ran {
    return this.sender.busy ? worse(this.ran, 'may-have-run') : this.ran;
  }

  /** Makes attempts until one gives the whole answer or no further one is allowed. */
  async run(): Promise<void> {
    this.context.budget.deposit();
    let step: Step = { body: this.subject.call.body, tokens: 0 };
    while (step !== undefined && !this.subject.stop.aborted) step = await this.next(step);
  }

  private async next(plan: Plan): Promise<Step> {
    const { call, span, stop, remaining } = this.subject;
    this.count += 1;
    const model = this.modelNow();
    const job = jobOf(call, model, this.promptOf(plan), this.excluded, remaining());
    const decide = startHop('decide', 'internal', { parent: span });
    const placed = await this.place(model, job);
    endHop(decide, placed.isErr() ? placed.error.kind : undefined);
    // A caller that left while the process stood still is known to be gone some turns later.
    await this.context.stalls.caughtUp();
    if (stop.aborted) return undefined;
    if (placed.isErr()) return this.fail(this.lastFault ?? placed.error);
    const placement = placed.value;
    const name = {
      requestId: call.requestId,
      attemptId: this.context.attemptIds.next(call.requestId),
      incarnation: placement.candidate.engineIncarnation,
    };
    const sending = { plan, job, placement, name };
    return call.idempotent ? this.sendFreely(sending) : this.claimed.send(sending);
  }

  /** Chooses a target; when each one has failed in a way that passes, they are all tried once more. */
  private async place(model: ModelPart | undefined, job: Job): Promise<Result<Placement, Fault>> {
    const { decisions, clock } = this.context;
    const { call, stop } = this.subject;
    const placed = await decisions.place(call, model, job);
    if (placed.isOk() || this.lastFault === undefined) return placed;
    if (this.excluded.size === 0 || !passing.has(this.lastFault.kind)) return placed;
    await clock.sleep(SECOND_ROUND_PAUSE_MS, stop).catch(() => undefined);
    this.excluded.clear();
    return decisions.place(call, model, job);
  }

  /** The weights of the next attempt. An answer that has begun goes on with those that it began with. */
  private modelNow(): ModelPart | undefined {
    const { call } = this.subject;
    if (call.model === undefined) return undefined;
    if (this.model === undefined || !this.answer.begun) {
      this.model = servedModel(call, call.model, this.context.view());
    }
    return this.model;
  }

  private promptOf(plan: Plan): Prompt | undefined {
    const { call } = this.subject;
    if (call.model === undefined || plan.body === call.body) return call.model?.prompt;
    return promptOf(call.path, plan.body).unwrapOr(call.model.prompt);
  }

  /** An attempt of a call that may be repeated. */
  private async sendFreely(sending: Sending): Promise<Step> {
    const outcome = await this.sender.send(sending);
    return match(outcome)
      .with({ type: 'ended' }, () => this.ended(sending))
      .with({ type: 'refused' }, { type: 'failed' }, (lost) => this.again(lost.fault, sending))
      .with({ type: 'stopped' }, () => this.stopped(sending))
      .exhaustive();
  }

  private stopped(sending: Sending): Step {
    this.context.background.follow(this.sender.cancel(sending));
    return undefined;
  }

  private ended(sending: Sending): Step {
    if (!this.answer.rejected) {
      const problem = this.answer.finish();
      return problem === undefined ? undefined : this.again(problem, sending);
    }
    const problem = fault('engine-failed', `the target answered ${this.answer.targetStatus}`);
    // Without another attempt the target's own error is the answer, unless a stream has begun already.
    return this.again(problem, sending, () => (this.answer.begun ? this.fail(problem) : this.passOn()));
  }

  private passOn(): Step {
    this.answer.finish();
    return undefined;
  }

  again(problem: Fault, { placement }: Sending, giveUp = (): Step => this.fail(problem)): Step {
    this.ran = worse(this.ran, problem.ran);
    this.lastFault = problem;
    this.excluded.add(placement.candidate.name);
    if (this.answer.marked) return this.passOn();
    if (!this.mayRetry(problem.kind)) return giveUp();
    const recovery = this.answer.recover();
    if (recovery.type === 'impossible') return this.fail(problem);
    if (recovery.type === 'whole') return this.passOn();
    this.noteRetry(problem, recovery.tokens);
    return recovery;
  }

  mayRetry(kind: Fault['kind']): boolean {
    const { settings, budget } = this.context;
    if (this.subject.stop.aborted || this.count >= settings.maxAttempts) return false;
    return answerOf(kind).retryable && budget.withdraw();
  }

  fail(problem: Fault): Step {
    this.ran = worse(this.ran, problem.ran);
    const { call, reply } = this.subject;
    // Another try helps where the request may be repeated and the fault may pass.
    const later = call.idempotent && answerOf(problem.kind).retryable ? RETRY_AFTER_MS : undefined;
    reply.fail({ ...problem, ran: this.ran, retryAfterMs: problem.retryAfterMs ?? later });
    return undefined;
  }

  private noteRetry(problem: Fault, tokens: number): void {
    const { log, metrics } = this.context;
    const { requestId } = this.subject.call;
    if (this.answer.begun) metrics.count(entryMetrics.continuations);
    const kind = this.answer.begun ? entryEvents.streamContinued : entryEvents.attemptRetried;
    log.event(kind, { requestId, after: problem.kind, tokens });
  }
}
