/** Attempts of a call that may not be repeated: only under a claim that a quorum holds. */
import { match } from 'ts-pattern';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Answer } from '../answer/index.js';
import type { Orphan, Settled, Verdict } from '../claim/index.js';
import { entryEvents } from '../events.js';
import { entryMetrics } from '../metrics.js';
import type { WorkContext } from './context.js';
import type { Aftermath, Sending, Step, Subject } from './plan.js';
import type { Sender } from './sender.js';

/** The parts of one call's work that a claimed attempt uses. */
export interface ClaimedParts {
  readonly sender: Sender;
  readonly answer: Answer;
  readonly aftermath: Aftermath;
}

/** Sends under a claim, and settles it. */
export class ClaimedSender {
  constructor(
    private readonly context: WorkContext,
    private readonly subject: Subject,
    private readonly parts: ClaimedParts,
  ) {}

  /** Takes the claim, sends, and settles by what is proved. */
  async send(sending: Sending): Promise<Step> {
    const { candidate } = sending.placement;
    const { attemptId } = sending.name;
    const holder = { agent: candidate.name, incarnation: candidate.engineIncarnation };
    const verdict = await this.context.claims.take(this.subject.call, attemptId, holder);
    if (verdict.type !== 'granted') return this.ungranted(verdict, sending);
    if (this.subject.stop.aborted) {
      this.settle(attemptId, { type: 'released' });
      return undefined;
    }
    const outcome = await this.parts.sender.send(sending);
    return match(outcome)
      .with({ type: 'ended' }, () => this.ended(attemptId))
      .with({ type: 'refused' }, { type: 'failed' }, (lost) => this.failed(lost.fault, sending))
      .with({ type: 'stopped' }, () => this.stopped(sending))
      .exhaustive();
  }

  private ended(attemptId: string): Step {
    const problem = this.parts.answer.finish();
    if (problem !== undefined) {
      this.settle(attemptId, { type: 'unknown' });
      return this.parts.aftermath.fail(problem);
    }
    const answer = this.parts.answer.keep(this.subject.call.service.claims.answerBytes);
    this.settle(attemptId, { type: 'done', answer });
    return undefined;
  }

  private async failed(problem: Fault, sending: Sending): Promise<Step> {
    const { attemptId } = sending.name;
    const { answer, aftermath } = this.parts;
    if (answer.marked) return this.ended(attemptId);
    if (problem.ran !== 'not-run') {
      this.settle(attemptId, { type: 'unknown' });
      return aftermath.fail(problem);
    }
    // Proved not run: the key is free again, and another attempt takes it anew.
    const step = aftermath.again(problem, sending);
    const released = this.context.claims.settle(this.subject.call, attemptId, { type: 'released' });
    if (step !== undefined) await this.unlessStopped(released);
    return step;
  }

  private async stopped(sending: Sending): Promise<Step> {
    const ran = await this.parts.sender.cancel(sending);
    this.settle(sending.name.attemptId, ran === 'not-run' ? { type: 'released' } : { type: 'unknown' });
    return undefined;
  }

  private ungranted(verdict: Exclude<Verdict, { type: 'granted' }>, sending: Sending): Promise<Step> | Step {
    return match(verdict)
      .with({ type: 'replay' }, (replay) => this.replay(replay))
      .with({ type: 'orphan' }, (orphan) => this.takeOver(orphan, sending))
      .with({ type: 'refused' }, (refused) => this.parts.aftermath.fail(refused.fault))
      .exhaustive();
  }

  private replay({ answer }: Extract<Verdict, { type: 'replay' }>): Step {
    const { reply } = this.subject;
    const { status, contentType, body } = answer;
    this.context.metrics.count(entryMetrics.replays);
    reply.header('x-idempotent-replay', 'true');
    reply.send(status, contentType === '' ? [] : [{ name: 'content-type', value: contentType }], body, 'ran');
    return undefined;
  }

  /** The entry that held the claim is gone: asks the agent for the answer, or for what is proved. */
  private async takeOver(orphan: Orphan, { plan }: Sending): Promise<Step> {
    const { log, view, claims } = this.context;
    const { attemptId, requestId, holder } = orphan;
    log.event(entryEvents.claimTakenOver, { requestId: this.subject.call.requestId, attemptId });
    const agent = view().instances.get(holder.agent);
    if (agent === undefined || agent.health === 'down') return this.outcomeUnknown(attemptId);
    const name = { requestId, attemptId, incarnation: holder.incarnation };
    const outcome = await this.parts.sender.attach(agent.address, name);
    switch (outcome.type) {
      case 'ended':
        return this.ended(attemptId);
      case 'refused':
      case 'failed': {
        if (outcome.fault.kind === 'already-running') return this.parts.aftermath.fail(outcome.fault);
        if (outcome.fault.ran !== 'not-run') return this.outcomeUnknown(attemptId);
        await this.unlessStopped(claims.settle(this.subject.call, attemptId, { type: 'released' }));
        const { aftermath } = this.parts;
        return aftermath.mayRetry('target-lost') ? plan : aftermath.fail(outcome.fault);
      }
      case 'stopped':
        return undefined;
    }
  }

  private outcomeUnknown(attemptId: string): Step {
    this.settle(attemptId, { type: 'unknown' });
    const message = 'the first request with this key may have run; it is not run again';
    return this.parts.aftermath.fail(fault('outcome-unknown', message));
  }

  /** Goes on in the background; a planned stop waits for it. */
  private settle(attemptId: string, settled: Settled): void {
    void this.context.claims.settle(this.subject.call, attemptId, settled);
  }

  /** Waits for a task, but not past the end of the call. */
  private async unlessStopped(task: Promise<void>): Promise<void> {
    const { stop } = this.subject;
    if (stop.aborted) return;
    const stopped = new Promise<void>((resolve) => {
      stop.addEventListener('abort', () => {
        resolve();
      });
    });
    await Promise.race([task, stopped]);
  }
}
