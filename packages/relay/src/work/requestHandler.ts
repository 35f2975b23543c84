/** Handles one request from its headers to the end of its answer. */
import type { IncomingMessage } from 'node:http';
import type { Customer, Route, RoutingTable, Service } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Cancellation, Fault } from '@jasmineroute/core';
import { FaultError } from '@jasmineroute/engine';
import { partFingerprint, requestFingerprint } from '@jasmineroute/protocol';
import type { AdmittedTrial, SentRequest } from '../quarantine/index.js';
import { readBody } from '@jasmineroute/entry';
import type { Target } from '@jasmineroute/knowledge';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallerAnswer } from '../answer/index.js';
import { sharedPartIds } from '../dialect/index.js';
import type { RelayRequest } from '../dialect/index.js';
import { relayEvents } from '../events.js';
import { relayMetrics } from '../metrics.js';
import { drawService, eligibleByWeights } from '../placement/index.js';
import type { Placement, PlacementInput } from '../placement/index.js';
import { admit } from './admit.js';
import type { Admitted } from './admit.js';
import { neverReached } from './attempt.js';
import type { Job, TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';
import { interrupted, forwardAnswer, bufferFailure } from './forward.js';
import type { ForwardOutcome, Outcome } from './forward.js';
import { partsAvailability, customerSalt, assignedStore } from './sharedParts.js';
import { overloadMessage } from './report.js';
import type { RequestHead } from './requestHead.js';
import type { RetryLimit } from './retryLimit.js';
import { Stream } from './stream.js';
import { TargetAttempt } from './targetAttempt.js';
import { notResumable, originOf, recordOrigin } from './resumption.js';

/** Maximum body size in bytes where the configuration sets none. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Delay after which a caller may retry when no target has capacity, milliseconds, with a random spread of half to
 * either side: the time in which an engine finishes about half of its requests.
 */
const OVERLOAD_RETRY_MS = 600;

/** Delay after which a caller may try another entry, milliseconds: practically at once. */
const NEXT_ENTRY_RETRY_MS = 10;

/** Delay after which a caller may send a request again that may run as a trial then, milliseconds. */
const RECHECK_RETRY_MS = 1_000;

/** Time before the end of a planned stop by which a request must have its answer, milliseconds: its last bytes still leave. */
const STOP_MARGIN_MS = 250;

/** Longest time for which a request without an answer is held after its caller may have stopped waiting, milliseconds. */
const MAX_OVERTIME_MS = 250;

/** Minimum remaining time for sending a request, milliseconds: one round trip. */
const MIN_REMAINING_MS = 10;

const SUCCESS = 200;
const SERVER_ERROR = 500;

function quarantined(retryAfterMs: number | undefined, part: string | undefined): Fault {
  const what = part === undefined ? 'this request' : `requests with the prompt part ${part}`;
  return fault('request-quarantined', `targets crashed while they ran ${what}; it was not sent`, {
    retryAfterMs,
  });
}

/** Whether an attempt ended without a run, as far as is certain. */
const isNotRun = (outcome: ForwardOutcome): boolean => 'fault' in outcome && outcome.fault.ran === 'not-run';

/** A request as its caller repeats it: the same path and body, of the same customer. */
function sentRequest({ id, path, prompt }: RelayRequest, body: Uint8Array, customer?: Customer): SentRequest {
  const name = customer?.name ?? '';
  const parts = sharedPartIds(prompt);
  let fingerprint: Uint8Array | undefined;
  let partFingerprints: Uint8Array[] | undefined;
  return {
    id,
    customer: name,
    parts,
    fingerprint: () => (fingerprint ??= requestFingerprint(name, path, body)),
    partFingerprints: () => (partFingerprints ??= parts.map(partFingerprint)),
  };
}

/** Handles one request of a caller. */
export class RequestHandler {
  private readonly abort = new AbortController();
  private sends = 0;
  /** Whether an attempt may have run. */
  private mayHaveRun = false;
  private service = '';
  private maxAttempts = 0;
  /** Ids of the targets that were chosen before. */
  private readonly tried = new Set<string>();
  private readonly stream: Stream;
  private job: Job | undefined;
  /** Target of the last attempt, unless it has answered or refused. */
  private target: Target | undefined;
  /** The trial that the request runs as. */
  private trial: AdmittedTrial | undefined;
  /** Why the last attempt was followed by no other one. */
  private limit: RetryLimit | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly incoming: IncomingMessage,
    private readonly head: RequestHead,
    private readonly answer: CallerAnswer,
  ) {
    this.stream = new Stream(context, answer, {
      begin: () => this.beginSuccessor(),
      failed: (attempt, problem) => this.endSuccessor(attempt, problem),
      ended: this.abort.signal,
      mayBeSentOn: () => this.mayBeSentOn(),
      recordOrigin: (softwareVersion) => {
        if (this.job !== undefined) recordOrigin(context, this.job, softwareVersion);
      },
    });
  }

  /** Where the request stands, for the log. */
  progress(): Readonly<Record<string, unknown>> {
    const { answer } = this;
    return {
      request: this.head.id,
      target: this.target?.id,
      sends: this.sends,
      ageMs: Math.round(answer.age()),
      isBegun: answer.begun,
      hasCallerLeft: answer.gone.aborted,
    };
  }

  /** The planned stop of this entry ends: a request without an answer is answered, as not run only if it was never sent. */
  endForStop(): void {
    if (this.answer.begun) return;
    const message = 'the planned stop of this entry ends before the request has an answer';
    this.abort.abort(new FaultError(fault('stopping', message, { retryAfterMs: NEXT_ENTRY_RETRY_MS })));
  }

  /** Answers the request in every case. */
  async run(): Promise<void> {
    const { request } = this.head;
    if (request.isErr() && request.error.kind === 'overloaded') {
      this.reject(this.head, request.error);
      return;
    }
    const { knowledge, startupGrace, stalls } = this.context;
    // After an event loop stall, a caller's request may be read before control's updates: the configuration may be
    // out of date.
    await stalls.waitUntilCaughtUp();
    const isConfigured = (): boolean => knowledge.confirmed() && knowledge.table() !== undefined;
    await startupGrace.until(isConfigured, this.answer.gone, (leftMs) => {
      this.logWait(request.isOk() ? request.value.id : undefined, leftMs);
    });
    const table = knowledge.table();
    if (table === undefined || !knowledge.confirmed()) {
      this.answer.fail(fault('not-configured', 'no confirmed configuration yet'));
      return;
    }
    if (request.isErr()) {
      this.answer.fail(request.error);
      return;
    }
    const admitted = admit(table, request.value);
    if (admitted.isErr()) this.reject(request.value, admitted.error);
    else await this.relay(table, request.value, admitted.value);
  }

  private reject(request: Pick<RequestHead, 'id'>, problem: Fault, route?: Route): void {
    const { log, metrics, knowledge } = this.context;
    const isBrokenOff = this.answer.begun;
    this.answer.fail(problem, request.id);
    metrics.count(relayMetrics.requests, 1, { kind: route?.kind ?? 'none', outcome: problem.kind });
    const fields = {
      request: request.id,
      route: route?.name,
      kind: problem.kind,
      ran: problem.ran,
      message: problem.message,
      sends: this.sends,
      limit: this.limit,
      configuration: knowledge.table()?.number,
      ageMs: Math.round(this.answer.age()),
    };
    if (isBrokenOff) this.recordBrokenOff(fields);
    else log.event(relayEvents.refused, fields);
  }

  private recordBrokenOff(fields: Readonly<Record<string, unknown>>): void {
    const { log, metrics, stopsAt } = this.context;
    metrics.count(relayMetrics.brokenOff, 1, { limit: this.limit ?? 'none' });
    log.event(relayEvents.broken, {
      ...fields,
      events: this.stream.lastEventId,
      isStopping: stopsAt() !== undefined,
    });
  }

  private async relay(table: RoutingTable, request: RelayRequest, admitted: Admitted): Promise<void> {
    const { route, customer } = admitted;
    const { uploads, clock } = this.context;
    const limit = table.configuration.limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const waitMs = Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    const arrivedAt = clock.monotonic() - this.answer.age();
    const until = arrivedAt + waitMs;
    const stopping = this.stopFault(until);
    if (stopping !== undefined) {
      this.reject(request, stopping, route);
      return;
    }
    // A running request may continue for as long as its caller may still wait for it; without an answer it may not be held much
    // beyond the time that is certain.
    const abortAt = clock.monotonic() - this.answer.minAge() + waitMs;
    const answerAt = Math.min(abortAt, until + MAX_OVERTIME_MS);
    const body = await readBody(this.incoming, limit, uploads, this.head.held);
    if (body.isErr()) {
      this.reject(request, body.error, route);
      return;
    }
    const endAt = (time: number, mayEnd: () => boolean): Cancellation =>
      clock.after(time - clock.monotonic(), () => {
        if (!mayEnd()) return;
        const message = 'the deadline of the request has passed';
        this.abort.abort(new FaultError(fault('deadline-exceeded', message)));
      });
    const cancelDeadline = endAt(abortAt, () => true);
    const cancelOvertime = endAt(answerAt, () => !this.answer.begun);
    const onGone = (): void => {
      this.abort.abort(this.answer.gone.reason);
    };
    this.answer.gone.addEventListener('abort', onGone, { once: true });
    if (this.answer.gone.aborted) onGone();
    try {
      const service = await this.serviceFor(table, request, admitted);
      if (service.isErr()) this.reject(request, service.error, route);
      else
        await this.runAttempts({
          request,
          body: body.value.bytes,
          route,
          service: service.value,
          customer,
          arrivedAt,
          until,
          sent: sentRequest(request, body.value.bytes, customer),
        });
    } finally {
      cancelDeadline();
      cancelOvertime();
      body.value.release();
    }
  }

  /** The service for a request: one of the route's by weight, or the one that began the stream which it resumes. */
  private async serviceFor(
    table: RoutingTable,
    request: RelayRequest,
    admitted: Admitted,
  ): Promise<Result<Service, Fault>> {
    const origin = await originOf(this.context, request, admitted, this.abort.signal);
    if (origin.isErr()) return err(origin.error);
    this.stream.resumedVersion = origin.value?.softwareVersion;
    this.service = origin.value?.service ?? drawService(admitted.route, this.context.random);
    const service = table.serviceOf(this.service);
    return service === undefined ? err(fault('no-target', `unknown service ${this.service}`)) : ok(service);
  }

  /**
   * The fault of a request whose answer a planned stop could cut off. A sound target may take as long as the caller waits, so
   * an estimate of the work is no bound. The caller uses another entry at once, or this one after the stop if it knows none.
   */
  private stopFault(until: number): Fault | undefined {
    const { stopsAt, clock, knowledge } = this.context;
    const end = stopsAt();
    if (end === undefined || until <= end - STOP_MARGIN_MS) return undefined;
    const retryAfterMs =
      knowledge.entries() > 1 ? NEXT_ENTRY_RETRY_MS : Math.max(NEXT_ENTRY_RETRY_MS, end - clock.monotonic());
    return fault('stopping', 'the request may outlast the planned stop of this entry', { retryAfterMs });
  }

  private async runAttempts(job: Job): Promise<void> {
    const { budgets, quarantine } = this.context;
    this.job = job;
    this.maxAttempts = job.route.resumable ? job.route.maxAttempts : 0;
    budgets.deposit(this.service);
    const { isAdmitted, trial, retryAfterMs, part } = await quarantine.admit(job.sent);
    if (!isAdmitted) {
      this.reject(job.request, quarantined(retryAfterMs, part), job.route);
      return;
    }
    this.trial = trial;
    const last = await this.attemptInTurn(job).finally(() => {
      if (trial !== undefined) quarantine.endTrial(trial, this.target);
    });
    if (last.state === 'answered') this.recordAnswered(job);
    else this.failUnanswered(job, last);
  }

  /** Sends the request to one target after the other until one answers or no further attempt is allowed. */
  private async attemptInTurn(job: Job): Promise<Outcome> {
    const { selector: placements, random, stalls } = this.context;
    let last: Outcome = { state: 'fault', fault: fault('no-target', 'no target is ready') };
    for (;;) {
      // A caller that left during an event loop stall is noticed only some turns of the loop later.
      await stalls.waitUntilCaughtUp();
      await this.stream.settled();
      if (this.sends === 0 && !this.hasTime(job)) {
        const message = 'the remaining time is too short to send the request';
        return { state: 'fault', fault: fault('deadline-unmeetable', message) };
      }
      const input = this.placementInput(job);
      const placement = this.abort.signal.aborted ? undefined : placements.choose(input);
      if (placement === undefined) {
        if (this.sends === 0 && (await this.waitForTarget(job))) continue;
        this.limit = this.abort.signal.aborted ? 'ended' : 'no-target';
        return this.sends === 0 ? { state: 'fault', fault: this.noTarget(job) } : last;
      }
      if (this.sends === 0 && placements.isOverloaded(input, placement)) {
        const retryAfterMs = OVERLOAD_RETRY_MS * (0.5 + random());
        return { state: 'fault', fault: fault('overloaded', overloadMessage(placement), { retryAfterMs }) };
      }
      const held = this.heldFault(job);
      if (held !== undefined) return this.sends === 0 ? { state: 'fault', fault: held } : last;
      last = await this.attempt(job, placement);
      if (last.state === 'answered') return last;
      if (!this.countsAsAttempt(last.fault)) this.sends -= 1;
      if (last.fault.ran !== 'not-run') this.mayHaveRun = true;
      this.limit = this.retryLimit(job, last.fault);
      if (this.limit !== undefined) return last;
    }
  }

  /** The fault of a request that must not be sent any more when its first byte is due. */
  private withheldFault(job: Job): Fault | undefined {
    // What has begun goes on here, and what may have run can't be refused as not run.
    const mayBeRefused = !this.answer.begun && !this.mayHaveRun;
    return (mayBeRefused ? this.stopFault(job.until) : undefined) ?? this.heldFault(job);
  }

  /** The fault of a request under which targets crashed; that may have become known while it waited. */
  private heldFault({ sent }: Job): Fault | undefined {
    if (this.trial !== undefined) return undefined;
    const refusal = this.context.quarantine.refusalOf(sent);
    return refusal === undefined ? undefined : quarantined(RECHECK_RETRY_MS, refusal.part);
  }

  private recordAnswered({ request, route }: Job): void {
    this.context.metrics.count(relayMetrics.requests, 1, { kind: route.kind, outcome: 'answered' });
    this.countResumed(request, 'answered');
    this.recordTimings();
  }

  private failUnanswered({ request, route }: Job, last: Exclude<Outcome, { state: 'answered' }>): void {
    this.countResumed(request, 'unanswered');
    if (this.answer.gone.aborted) {
      const ageMs = Math.round(this.answer.age());
      this.context.log.event(relayEvents.callerGone, { request: request.id, sends: this.sends, ageMs });
      return;
    }
    if (last.state === 'failure') last.answer();
    else this.reject(request, this.finalFault(last.fault), route);
  }

  /** The fault for a request that no target can take. */
  private noTarget({ service }: Job): Fault {
    const { resumedVersion } = this.stream;
    const { targets } = this.context.knowledge;
    if (resumedVersion === undefined || targets.hasVersion(service.name, resumedVersion))
      return fault('no-target', 'no target is ready');
    return notResumable(`no target of software version ${resumedVersion} serves`);
  }

  /** Waits for a target during the startup grace period. @returns whether one is available. */
  private async waitForTarget(job: Job): Promise<boolean> {
    const isKnown = (): boolean => this.placementInput(job).candidates.length > 0;
    const { signal } = this.abort;
    const isFound = await this.context.startupGrace.until(isKnown, signal, (leftMs) => {
      this.logWait(job.request.id, leftMs);
    });
    return isFound && !signal.aborted;
  }

  private logWait(request: string | undefined, leftMs: number): void {
    const { log, knowledge } = this.context;
    const configuration = knowledge.table()?.number;
    log.event(relayEvents.waiting, {
      request,
      configuration,
      service: this.service,
      mostMs: Math.round(leftMs),
    });
  }

  /**
   * Whether a failed attempt counts against the route's maximum. It does not if the request was never written, nor if a
   * target refused the rest of a stream that has begun: the relay moved that stream itself, and counting the refusal
   * would break the stream off for lack of a target with capacity.
   */
  private countsAsAttempt({ kind, ran }: Fault): boolean {
    return !neverReached.has(kind) && !(this.answer.begun && ran === 'not-run');
  }

  /** Reports an expired deadline as such, and as proof that the request did not run if it was never sent. */
  private finalFault(problem: Fault): Fault {
    const { reason } = this.abort.signal as { reason: unknown };
    if (!(reason instanceof FaultError)) return problem;
    if (reason.fault.kind === 'stopping') return { ...reason.fault, ran: problem.ran };
    if (problem.ran === 'not-run')
      return fault('deadline-unmeetable', 'the deadline passed before a target ran the request');
    return reason.fault;
  }

  /** Whether the caller is certain to wait long enough for the answer to an attempt that starts now. */
  private hasTime({ until }: Job): boolean {
    return until - this.context.clock.monotonic() >= MIN_REMAINING_MS;
  }

  /** Why a request is sent to no other target after a failed attempt; undefined: it is. Takes the retry from the budget. */
  private retryLimit(job: Job, problem: Fault): RetryLimit | undefined {
    const { budgets, quarantine } = this.context;
    const { route } = job;
    if (this.abort.signal.aborted) return 'ended';
    if (!this.hasTime(job)) return 'time';
    if (!this.answer.begun && this.stopFault(job.until) !== undefined) return 'stopping';
    if (this.sends >= route.maxAttempts) return 'attempts';
    // Only a stream can go on after what the caller already has.
    if (this.answer.begun && route.kind !== 'stream') return 'begun';
    if (!quarantine.mayRetry(job.sent, problem.ran !== 'not-run')) return 'quarantined';
    const isRetryable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
    if (!isRetryable && problem.ran !== 'not-run') return 'not-repeatable';
    // An attempt that never reached a target adds no load.
    return neverReached.has(problem.kind) || budgets.withdraw(this.service) ? undefined : 'budget';
  }

  private placementInput(job: Job): PlacementInput {
    const { knowledge, clock, monitor, quarantine, weightsLimitMs } = this.context;
    const ready = knowledge.targets.ready(job.service.name);
    const untried = ready.filter((target) => !this.tried.has(target.id) && this.stream.mayGoOnAt(target));
    const model = job.route.hasPrompt ? job.request.prompt?.model : undefined;
    const modelRequest =
      model === undefined
        ? undefined
        : { model, resumable: job.route.resumable, moving: this.stream.lastEventId !== undefined };
    const eligible = eligibleByWeights(untried, modelRequest, knowledge, clock.monotonic(), weightsLimitMs);
    const candidates = quarantine.isSuspect(job.sent)
      ? quarantine.runs.targetsFor(eligible, (id) => monitor.isAvoided(id))
      : eligible;
    const { prompt } = job.request;
    const priority = job.customer?.priority ?? job.route.priority;
    const store = assignedStore(this.context, job);
    return {
      service: job.service.name,
      candidates,
      prompt: job.route.hasPrompt ? prompt : undefined,
      // What was admitted before is finished before new work of its class begins.
      priority: this.stream.resumedVersion === undefined ? priority : 0,
      salt: customerSalt(this.context, job),
      objectiveMs: job.route.objectiveMs,
      availabilityAt: (target) => partsAvailability(this.context, job, target, store),
    };
  }

  /** Sends the request to one target, and forwards its answer and that of each target which takes the stream over. */
  private async attempt(job: Job, placement: Placement): Promise<Outcome> {
    const first = this.beginAttempt(job, placement);
    this.target = first.target;
    const sent = await first.ask(this.abort.signal);
    let attempt = first;
    let outcome: ForwardOutcome = sent.isOk()
      ? await this.forward(job, first, sent.value)
      : { state: 'fault', fault: sent.error };
    for (;;) {
      if (outcome.state === 'answered' || isNotRun(outcome)) this.target = undefined;
      await attempt.finish(outcome);
      if (outcome.state !== 'left') return outcome;
      this.mayHaveRun = true;
      const successor = this.stream.takeSuccessor();
      if (successor === undefined) throw new Error('a stream was left for no other target');
      attempt = successor.attempt;
      this.target = attempt.target;
      outcome = await this.forward(job, attempt, successor.answer);
    }
  }

  private beginAttempt(job: Job, placement: Placement): TargetAttempt {
    this.tried.add(placement.target.id);
    this.sends += 1;
    return new TargetAttempt(this.context, {
      job,
      placement,
      send: this.sends,
      stream: this.stream,
      answer: this.answer,
      trial: this.trial,
      withheld: () => this.withheldFault(job),
      ended: this.abort.signal,
    });
  }

  /** Begins an attempt at a target that may take the stream over; undefined: there is none, or no retry is left. */
  private beginSuccessor(): TargetAttempt | undefined {
    const { job } = this;
    if (job === undefined || this.sends >= this.maxAttempts || !this.hasTime(job)) return undefined;
    if (!this.mayBeSentOn() || this.heldFault(job) !== undefined) return undefined;
    const placement = this.context.selector.choose(this.placementInput(job));
    if (placement === undefined || !this.context.budgets.withdraw(this.service)) return undefined;
    return this.beginAttempt(job, placement);
  }

  /** Whether the request may be sent to another target once one has run it. */
  private mayBeSentOn(): boolean {
    return this.job !== undefined && this.context.quarantine.mayRetry(this.job.sent, true);
  }

  /** Records that a target did not take the stream over. */
  private async endSuccessor(attempt: TargetAttempt, problem: Fault): Promise<void> {
    if (!this.countsAsAttempt(problem)) this.sends -= 1;
    if (problem.ran !== 'not-run') this.mayHaveRun = true;
    await attempt.finish({ state: 'fault', fault: problem });
  }

  /** Forwards an answer to the caller. */
  private async forward(job: Job, attempt: TargetAttempt, answer: TargetAnswer): Promise<ForwardOutcome> {
    try {
      return await this.forwardChecked(job, attempt, answer);
    } finally {
      attempt.release();
    }
  }

  private forwardChecked(job: Job, attempt: TargetAttempt, answer: TargetAnswer): Promise<ForwardOutcome> {
    const { status } = answer.wire;
    // The rest of a stream that has begun must be a stream as well.
    if (this.answer.begun && status !== SUCCESS) {
      answer.wire.abandon();
      return Promise.resolve(
        interrupted(fault('engine-failed', `the target answered ${status} instead of resuming the stream`)),
      );
    }
    if (status >= SERVER_ERROR) return bufferFailure(this.context, this.answer, answer);
    const isStream = job.route.kind === 'stream' && status === SUCCESS;
    return isStream
      ? this.stream.forward(attempt.target, answer, attempt.open)
      : forwardAnswer(this.context, this.answer, answer);
  }

  private countResumed({ lastEventId }: RelayRequest, outcome: 'answered' | 'unanswered'): void {
    if (lastEventId !== undefined) this.context.metrics.count(relayMetrics.resumed, 1, { outcome });
  }

  private recordTimings(): void {
    const { metrics } = this.context;
    metrics.timing(relayMetrics.duration, this.answer.age());
    const { firstByteMs } = this.answer;
    if (firstByteMs !== undefined) metrics.timing(relayMetrics.firstByte, firstByteMs);
  }
}
