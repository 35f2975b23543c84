/** One attempt of a request at one target, from the choice of the target to the end of its answer. */
import type { Fault } from '@jasmineroute/core';
import type { Target } from '@jasmineroute/knowledge';
import type { Result } from 'neverthrow';
import type { CallerAnswer } from '../answer/index.js';
import type { Source } from '../cache/index.js';
import type { AddedFields } from '../dialect/index.js';
import { relayEvents } from '../events.js';
import { relayMetrics } from '../metrics.js';
import type { Placement } from '../placement/index.js';
import type { AdmittedTrial } from '../quarantine/index.js';
import type { Fetch, OpenRequest } from '../target/index.js';
import { addedFieldsFor } from './addedFields.js';
import { neverReached, send } from './attempt.js';
import type { Job, TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';
import type { ForwardOutcome } from './forward.js';
import { attemptRecord } from './report.js';
import { Sending } from './sending.js';
import { cacheSaltAt, sourceFor } from './sharedParts.js';
import type { Stream } from './stream.js';

const SUCCESS = 200;
const REDIRECT = 300;

/** What an attempt is made with. */
export interface TargetAttemptParts {
  readonly job: Job;
  readonly placement: Placement;
  /** Number of the attempt, from 1. */
  readonly send: number;
  readonly stream: Stream;
  readonly answer: CallerAnswer;
  /** The trial that the request runs as. */
  readonly trial: AdmittedTrial | undefined;
  /** The fault of a request that may not be sent any more. */
  readonly withheld: () => Fault | undefined;
  /** Aborts when nobody waits for the answer of the request any more. */
  readonly ended: AbortSignal;
}

/** The fetch that an attempt makes over a store's link. */
const fetchOf = (source: Source | undefined): Fetch | undefined =>
  source?.isStore === true ? { store: source.address, tokens: source.tokens } : undefined;

/** Whether the end of an answer shows that the target finished it: a success that a lost connection can't look like. */
const isProofOfEnd = ({ wire }: TargetAnswer): boolean =>
  wire.isFramed && wire.status >= SUCCESS && wire.status < REDIRECT;

/** One attempt. It begins when it is made; `finish` must be called. */
export class TargetAttempt {
  readonly target: Target;
  readonly open: OpenRequest;
  readonly sending: Sending;
  private readonly begunAt: number;
  /** Id of the event after which the stream resumes. */
  private readonly resumeAfterId: string | undefined;
  private addedFields: AddedFields;
  private readonly takeBack: ((wasReached: boolean) => void) | undefined;
  private readonly endRun: (() => void) | undefined;
  private clearParts = (): void => undefined;
  private status = 0;
  private headMs: number | undefined;
  private isOpen = true;
  private wasUnresponsive = false;

  constructor(
    private readonly context: RelayContext,
    private readonly parts: TargetAttemptParts,
  ) {
    const { clock, monitor, quarantine } = context;
    const { job, placement, stream, trial, withheld } = parts;
    const { target } = placement;
    this.target = target;
    this.begunAt = clock.monotonic();
    const { lastEventId } = stream;
    this.resumeAfterId = lastEventId === undefined ? job.request.lastEventId : String(lastEventId);
    const source = this.source();
    this.addedFields = this.fieldsWith(source);
    this.open = monitor.startRequest(target.id, placement.tokens, fetchOf(source), job.service.name);
    this.takeBack = trial === undefined ? undefined : quarantine.recordSending(trial);
    this.endRun = quarantine.isSuspect(job.sent) ? quarantine.runs.begin(target.id) : undefined;
    this.sending = new Sending(context, target, withheld);
  }

  /** Sends the request. The answer's body must be read to its end or abandoned. */
  async ask(signal: AbortSignal): Promise<Result<TargetAnswer, Fault>> {
    try {
      return await this.send(signal);
    } catch (error) {
      this.release();
      throw error;
    }
  }

  /** The target works on it no more: its answer has ended or is abandoned. */
  release(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.wasUnresponsive = this.context.monitor.isUnresponsive(this.target.id);
    this.sending.end();
    this.open.finish();
    this.endRun?.();
  }

  /** Records what came of it. */
  async finish(outcome: ForwardOutcome): Promise<void> {
    this.release();
    const { monitor, quarantine } = this.context;
    const { sent } = this.parts.job;
    if (outcome.state === 'answered') {
      monitor.recordSuccess(this.target.id);
      quarantine.recordSuccess(sent);
      this.clearParts();
    } else if (this.mayHaveEnded(outcome)) {
      await quarantine.recordBroken(sent, this.target);
    }
    if (outcome.state === 'fault' || outcome.state === 'failure') this.recordFault(outcome.fault);
    this.record(outcome);
  }

  private async send(signal: AbortSignal): Promise<Result<TargetAnswer, Fault>> {
    const { clock, quarantine } = this.context;
    const { job } = this.parts;
    const fields = { current: () => this.currentFields(), isCurrent: () => this.hasCurrentSalt() };
    const sent = await send(this.context, job, this.sending, fields, signal);
    if (sent.isErr()) return sent;
    this.headMs = clock.monotonic() - this.begunAt;
    this.status = sent.value.wire.status;
    if (isProofOfEnd(sent.value)) this.clearParts = quarantine.beginAnswer(job.sent);
    return sent;
  }

  private source(): Source | undefined {
    const { job } = this.parts;
    return job.route.hasPrompt ? sourceFor(this.context, job, this.target) : undefined;
  }

  private fieldsWith(source: Source | undefined): AddedFields {
    const { job } = this.parts;
    const leftMs = job.until - this.begunAt;
    return addedFieldsFor(this.context, job, this.target, leftMs, this.resumeAfterId, source);
  }

  /** The fields by the configuration in force now: another one may have begun a new salt while the request waited. */
  private currentFields(): AddedFields {
    if (!this.hasCurrentSalt()) this.addedFields = this.fieldsWith(this.source());
    return this.addedFields;
  }

  private hasCurrentSalt(): boolean {
    const { cacheSalt } = this.addedFields;
    return cacheSalt === undefined || cacheSalt === cacheSaltAt(this.context, this.target, this.parts.job);
  }

  private recordFault({ kind, ran }: Fault): void {
    const { knowledge, metrics, monitor } = this.context;
    if (ran === 'not-run') this.takeBack?.(!neverReached.has(kind));
    if (kind === 'answer-mismatch') monitor.recordFailure(this.target.id);
    if (kind === 'target-leaving')
      metrics.count(relayMetrics.takenBack, 1, { state: knowledge.targets.stateOf(this.target.id) });
  }

  /** Whether a target that broke off an answer may have ended, rather than this entry having given the answer up. */
  private mayHaveEnded(outcome: Exclude<ForwardOutcome, { state: 'answered' }>): boolean {
    // A suspect whose caller leaves before the target ends would never be held to have crashed it.
    if (this.parts.ended.aborted) return this.context.quarantine.isSuspect(this.parts.job.sent);
    if (outcome.state === 'left') return outcome.reason === 'lost' || this.wasUnresponsive;
    return outcome.fault.kind === 'target-lost' || outcome.fault.kind === 'stream-broken';
  }

  private record(outcome: ForwardOutcome): void {
    const { clock, log, metrics } = this.context;
    const { job, placement, send: number, stream, answer } = this.parts;
    const result = 'fault' in outcome ? outcome.fault.kind : outcome.state;
    metrics.count(relayMetrics.attempts, 1, { outcome: result });
    const { sending, addedFields, status, headMs } = this;
    const tookMs = clock.monotonic() - this.begunAt;
    const finished = { job, placement, sending, addedFields, outcome, status, send: number, headMs, tookMs };
    log.event(relayEvents.attempted, attemptRecord(finished, stream, answer));
  }
}
