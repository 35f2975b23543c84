/** Attempts of a non-idempotent call, each sent only after a quorum has stored a claim on the call's key. */
import { match } from 'ts-pattern';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Answer } from '../answer/index.js';
import type { OrphanedAttempt, AttemptSettlement, ClaimResult } from '../claim/index.js';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';
import type { EntryContext } from './context.js';
import type { FailureHandler, PlacedAttempt, NextAttempt, ActiveCall } from './plan.js';
import type { Sender } from './sender.js';

/** What `ClaimedSender` shares with the other attempts of the call. */
export interface ClaimedParts {
  readonly sender: Sender;
  readonly answer: Answer;
  readonly failureHandler: FailureHandler;
}

/** Sends attempts under a claim and settles the claim. */
export class ClaimedSender {
  constructor(
    private readonly context: EntryContext,
    private readonly active: ActiveCall,
    private readonly parts: ClaimedParts,
  ) {}

  /** Acquires the claim, sends the attempt, and settles the claim by what is proven about the run. */
  async send(attempt: PlacedAttempt): Promise<NextAttempt> {
    const { candidate } = attempt.placement;
    const { attemptId } = attempt.ref;
    const holder = { agent: candidate.name, incarnation: candidate.engineIncarnation };
    const result = await this.context.claims.acquire(this.active.call, attemptId, holder);
    if (result.type !== 'granted') return this.handleNotGranted(result, attempt);
    if (this.active.stop.aborted) {
      this.settle(attemptId, { type: 'released' });
      return undefined;
    }
    const outcome = await this.parts.sender.send(attempt);
    return match(outcome)
      .with({ type: 'ended' }, () => this.handleEnd(attemptId))
      .with({ type: 'refused' }, { type: 'failed' }, (failure) => this.handleFailure(failure.fault, attempt))
      .with({ type: 'stopped' }, () => this.handleStop(attempt))
      .exhaustive();
  }

  private handleEnd(attemptId: string): NextAttempt {
    const problem = this.parts.answer.finish();
    if (problem !== undefined) {
      this.settle(attemptId, { type: 'unknown' });
      return this.parts.failureHandler.fail(problem);
    }
    const answer = this.parts.answer.toKeptAnswer(this.active.call.service.claims.answerBytes);
    this.settle(attemptId, { type: 'done', answer });
    return undefined;
  }

  private async handleFailure(problem: Fault, attempt: PlacedAttempt): Promise<NextAttempt> {
    const { attemptId } = attempt.ref;
    const { answer, failureHandler } = this.parts;
    if (answer.isEndMarkerSent) return this.handleEnd(attemptId);
    if (problem.ran !== 'not-run') {
      this.settle(attemptId, { type: 'unknown' });
      return failureHandler.fail(problem);
    }
    // Proven not to have run: the key is released, and the next attempt acquires a new claim.
    const step = failureHandler.retryOrFail(problem, attempt);
    const released = this.context.claims.settle(this.active.call, attemptId, { type: 'released' });
    if (step !== undefined) await this.unlessStopped(released);
    return step;
  }

  private async handleStop(attempt: PlacedAttempt): Promise<NextAttempt> {
    const ran = await this.parts.sender.cancel(attempt);
    this.settle(attempt.ref.attemptId, ran === 'not-run' ? { type: 'released' } : { type: 'unknown' });
    return undefined;
  }

  private handleNotGranted(
    result: Exclude<ClaimResult, { type: 'granted' }>,
    attempt: PlacedAttempt,
  ): Promise<NextAttempt> | NextAttempt {
    return match(result)
      .with({ type: 'replay' }, (replay) => this.replay(replay))
      .with({ type: 'orphan' }, (orphan) => this.takeOver(orphan, attempt))
      .with({ type: 'refused' }, (refused) => this.parts.failureHandler.fail(refused.fault))
      .exhaustive();
  }

  private replay({ answer }: Extract<ClaimResult, { type: 'replay' }>): NextAttempt {
    const { reply } = this.active;
    const { status, contentType, body } = answer;
    this.context.metrics.count(entryMetrics.replays);
    reply.header('x-idempotent-replay', 'true');
    reply.send(status, contentType === '' ? [] : [{ name: 'content-type', value: contentType }], body, 'ran');
    return undefined;
  }

  /** The entry that held the claim is gone: asks the agent for the answer, or at least for the run state. */
  private async takeOver(orphan: OrphanedAttempt, { plan }: PlacedAttempt): Promise<NextAttempt> {
    const { log, view, claims } = this.context;
    const { attemptId, requestId, holder } = orphan;
    log.event(entryEvents.claimTakenOver, { requestId: this.active.call.requestId, attemptId });
    const agent = view().instances.get(holder.agent);
    if (agent === undefined || agent.health === 'down') return this.outcomeUnknown(attemptId);
    const ref = { requestId, attemptId, incarnation: holder.incarnation };
    const outcome = await this.parts.sender.attach(agent.address, ref);
    switch (outcome.type) {
      case 'ended':
        return this.handleEnd(attemptId);
      case 'refused':
      case 'failed': {
        if (outcome.fault.kind === 'already-running') return this.parts.failureHandler.fail(outcome.fault);
        if (outcome.fault.ran !== 'not-run') return this.outcomeUnknown(attemptId);
        await this.unlessStopped(claims.settle(this.active.call, attemptId, { type: 'released' }));
        const { failureHandler } = this.parts;
        return failureHandler.mayRetry('target-lost') ? plan : failureHandler.fail(outcome.fault);
      }
      case 'stopped':
        return undefined;
    }
  }

  private outcomeUnknown(attemptId: string): NextAttempt {
    this.settle(attemptId, { type: 'unknown' });
    const message = 'the first request with this key may have run; it will not be run again';
    return this.parts.failureHandler.fail(fault('outcome-unknown', message));
  }

  /** Settles in the background; a planned stop waits for it. */
  private settle(attemptId: string, settlement: AttemptSettlement): void {
    void this.context.claims.settle(this.active.call, attemptId, settlement);
  }

  /** Waits for a task, but no longer than until the call is stopped. */
  private async unlessStopped(task: Promise<void>): Promise<void> {
    const { stop } = this.active;
    if (stop.aborted) return;
    const stopped = new Promise<void>((resolve) => {
      stop.addEventListener('abort', () => {
        resolve();
      });
    });
    await Promise.race([task, stopped]);
  }
}
