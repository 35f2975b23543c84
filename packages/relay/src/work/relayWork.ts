/** One request from its head to the end of its answer. */
import type { IncomingMessage } from 'node:http';
import type { Route, RoutingTable } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { FaultError } from '@jasmineroute/engine';
import { readBody } from '@jasmineroute/entry';
import type { Target } from '@jasmineroute/knowledge';
import type { CallerAnswer } from '../answer/index.js';
import type { Source } from '../cache/index.js';
import type { RelayRequest } from '../dialect/index.js';
import { relayEvents } from '../events.js';
import { relayMetrics } from '../metrics.js';
import { drawService, eligibleByWeights } from '../placement/index.js';
import type { Placement, PlacementInput } from '../placement/index.js';
import { additionFor } from './addition.js';
import { admit } from './admit.js';
import type { Admitted } from './admit.js';
import { send } from './attempt.js';
import type { Job, TargetAnswer } from './attempt.js';
import type { Fetch, OpenRequest } from '../target/index.js';
import type { RelayContext } from './context.js';
import { brokenOff, passAnswer, passFailure } from './pass.js';
import type { Outcome } from './pass.js';
import { partsView, saltOf, sourceFor, storeInForce } from './parts.js';
import { overrunText, sendingReport } from './report.js';
import { Stream } from './stream.js';

/** Largest body where the configuration names none, bytes. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/** Time for one token of a busy engine, milliseconds: an event of 4 tokens takes up to 80 ms in nine of ten cases. */
const SLOW_TOKEN_MS = 20;

/**
 * When a caller may come back whom no target has room for, milliseconds, spread by half to either side: the time in
 * which an engine ends about half of what it runs.
 */
const FULL_RETURN_MS = 600;

/** When a caller may ask the next entry, milliseconds: at once. */
const MOVE_ON_MS = 10;

/** A request that can't be answered in this time is not sent any more, milliseconds: one round trip. */
const LEAST_MS = 10;

const SUCCESS = 200;
const SERVER_ERROR = 500;

/** What a sending fetches over a store's link. */
const fetchOf = (source: Source | undefined): Fetch | undefined =>
  source?.isStore === true ? { store: source.address, tokens: source.tokens } : undefined;

/** Handles one request. */
export class RelayWork {
  private readonly abort = new AbortController();
  private sends = 0;
  private service = '';
  private maxAttempts = 0;
  private readonly stream: Stream;

  constructor(
    private readonly context: RelayContext,
    private readonly incoming: IncomingMessage,
    private readonly answer: CallerAnswer,
  ) {
    this.stream = new Stream(context, answer, () => this.mayMove());
  }

  /** Answers the request, whatever happens. */
  async run(): Promise<void> {
    const { dialect, knowledge, learning, stalls } = this.context;
    const request = dialect.readRequest(this.incoming);
    // What control told while the process stood still may be read after what callers sent: the configuration may be older.
    await stalls.caughtUp();
    const isConfigured = (): boolean => knowledge.confirmed() && knowledge.table() !== undefined;
    await learning.until(isConfigured, this.answer.gone, (leftMs) => {
      this.noteWait(request.isOk() ? request.value.id : undefined, leftMs);
    });
    const table = knowledge.table();
    if (table === undefined || !knowledge.confirmed()) {
      this.answer.fail(fault('not-configured', 'no configuration is confirmed yet'));
      return;
    }
    if (request.isErr()) {
      this.answer.fail(request.error);
      return;
    }
    const admitted = admit(table, request.value);
    if (admitted.isErr()) this.refuse(request.value, admitted.error);
    else await this.relay(table, request.value, admitted.value);
  }

  private refuse(request: RelayRequest, problem: Fault, route?: Route): void {
    const { log, metrics, knowledge } = this.context;
    this.answer.fail(problem, request.id);
    metrics.count(relayMetrics.requests, 1, { kind: route?.kind ?? 'none', outcome: problem.kind });
    log.event(relayEvents.refused, {
      request: request.id,
      route: route?.name,
      kind: problem.kind,
      ran: problem.ran,
      message: problem.message,
      sends: this.sends,
      configuration: knowledge.table()?.number,
      ageMs: Math.round(this.answer.age()),
    });
  }

  private async relay(
    table: RoutingTable,
    request: RelayRequest,
    { route, customer }: Admitted,
  ): Promise<void> {
    const { bodies, clock } = this.context;
    if (this.outlivesStop(request)) {
      this.refuse(
        request,
        fault('stopping', 'it may take longer than this entry lives', { retryAfterMs: MOVE_ON_MS }),
        route,
      );
      return;
    }
    const limit = table.configuration.limits?.maxBodyBytes ?? DEFAULT_BODY_BYTES;
    const waitMs = Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    const until = clock.monotonic() - this.answer.age() + waitMs;
    // What runs goes on for as long as its caller may still wait for it.
    const lastUntil = clock.monotonic() - this.answer.leastAge() + waitMs;
    const body = await readBody(this.incoming, limit, bodies);
    if (body.isErr()) {
      this.refuse(request, body.error, route);
      return;
    }
    const name = drawService(route, this.context.random);
    const service = table.serviceOf(name);
    this.service = name;
    const calledOff = clock.after(lastUntil - clock.monotonic(), () => {
      this.abort.abort(new FaultError(fault('deadline-exceeded', 'the time of the request is over')));
    });
    const onGone = (): void => {
      this.abort.abort(this.answer.gone.reason);
    };
    this.answer.gone.addEventListener('abort', onGone, { once: true });
    if (this.answer.gone.aborted) onGone();
    try {
      if (service === undefined) this.refuse(request, fault('no-target', `no service ${name}`), route);
      else await this.attempts({ request, body: body.value.bytes, route, service, customer, until });
    } finally {
      calledOff();
      body.value.release();
    }
  }

  /**
   * Whether a stream is likely to be cut by the end of a planned stop: the balancer sends requests for two seconds more,
   * and a long one would be cut in its middle. Another entry takes it now.
   */
  private outlivesStop({ prompt }: RelayRequest): boolean {
    const stopsAt = this.context.stopsAt();
    if (stopsAt === undefined || prompt === undefined) return false;
    return this.context.clock.monotonic() + prompt.maxOutputTokens * SLOW_TOKEN_MS > stopsAt;
  }

  private async attempts(job: Job): Promise<void> {
    const { budgets, log, metrics, selector: placements, random, stalls } = this.context;
    const tried = new Set<string>();
    this.maxAttempts = job.route.resumable ? job.route.maxAttempts : 0;
    budgets.deposit(this.service);
    let last: Outcome = { state: 'fault', fault: fault('no-target', 'no target is ready') };
    for (;;) {
      // A caller that left while the process stood still is known to be gone some turns later.
      await stalls.caughtUp();
      if (this.sends === 0 && !this.hasTime(job)) {
        last = { state: 'fault', fault: fault('deadline-unmeetable', 'its caller may be gone') };
        break;
      }
      const input = this.inputFor(job, tried);
      const placement = this.abort.signal.aborted ? undefined : placements.choose(input);
      if (placement === undefined) {
        if (this.sends === 0 && (await this.learnsTarget(job, tried))) continue;
        break;
      }
      if (this.sends === 0 && placements.isOverloaded(input, placement)) {
        const retryAfterMs = FULL_RETURN_MS * (0.5 + random());
        last = { state: 'fault', fault: fault('overloaded', overrunText(placement), { retryAfterMs }) };
        break;
      }
      tried.add(placement.target.id);
      this.sends += 1;
      last = await this.attempt(job, placement);
      if (last.state === 'answered') {
        metrics.count(relayMetrics.requests, 1, { kind: job.route.kind, outcome: 'answered' });
        this.measure();
        return;
      }
      if (!this.counts(last.fault)) this.sends -= 1;
      if (!this.mayRepeat(job, last.fault)) break;
    }
    if (this.answer.gone.aborted) {
      log.event(relayEvents.callerGone, {
        request: job.request.id,
        sends: this.sends,
        ageMs: Math.round(this.answer.age()),
      });
      return;
    }
    if (last.state === 'failure') last.answer();
    else this.refuse(job.request, this.finalFault(last.fault), job.route);
  }

  /** Waits for a target while the entry has just started. @returns whether there is one. */
  private async learnsTarget(job: Job, tried: ReadonlySet<string>): Promise<boolean> {
    const isKnown = (): boolean => this.inputFor(job, tried).candidates.length > 0;
    const { signal } = this.abort;
    const isLearnt = await this.context.learning.until(isKnown, signal, (leftMs) => {
      this.noteWait(job.request.id, leftMs);
    });
    return isLearnt && !signal.aborted;
  }

  private noteWait(request: string | undefined, leftMs: number): void {
    const { log, knowledge } = this.context;
    const configuration = knowledge.table()?.number;
    log.event(relayEvents.waits, {
      request,
      configuration,
      service: this.service,
      mostMs: Math.round(leftMs),
    });
  }

  /**
   * Whether a sending counts against the route's attempts. One that never left does not; nor does a refusal of the rest of
   * a stream that has begun: it left a target on our wish, and would break off for want of one that has room.
   */
  private counts({ kind, ran }: Fault): boolean {
    return kind !== 'target-unreachable' && !(this.answer.begun && ran === 'not-run');
  }

  /** A time that is over is reported as such; what never left is proved not to have run. */
  private finalFault(problem: Fault): Fault {
    const { reason } = this.abort.signal as { reason: unknown };
    if (!(reason instanceof FaultError)) return problem;
    if (problem.ran === 'not-run') return fault('deadline-unmeetable', 'no target answered in time');
    return reason.fault;
  }

  /** Whether its caller surely waits long enough for an answer of what is begun now. */
  private hasTime({ until }: Job): boolean {
    return until - this.context.clock.monotonic() >= LEAST_MS;
  }

  private mayRepeat(job: Job, problem: Fault): boolean {
    const { budgets } = this.context;
    const { route } = job;
    if (this.abort.signal.aborted || !this.hasTime(job)) return false;
    if (this.sends >= route.maxAttempts) return false;
    const isRepeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
    if (!isRepeatable && problem.ran !== 'not-run') return false;
    // The retry of a stream that moves was taken from the budget when it left.
    if (this.stream.moving) {
      this.stream.moving = false;
      return true;
    }
    // An attempt that never left is no arrival anywhere.
    return problem.kind === 'target-unreachable' || budgets.withdraw(this.service);
  }

  private inputFor(job: Job, tried: ReadonlySet<string>): PlacementInput {
    const { knowledge, clock, weightsLimitMs } = this.context;
    const ready = knowledge.targets.ready(job.service.name);
    const untried = ready.filter(({ id }) => !tried.has(id));
    const model = job.route.hasPrompt ? job.request.prompt?.model : undefined;
    const wish =
      model === undefined
        ? undefined
        : { model, resumable: job.route.resumable, moving: this.stream.lastEventId !== undefined };
    const fresh = eligibleByWeights(untried, wish, knowledge, clock.monotonic(), weightsLimitMs);
    const { prompt } = job.request;
    const store = storeInForce(this.context, job);
    return {
      service: job.service.name,
      candidates: fresh,
      prompt: job.route.hasPrompt ? prompt : undefined,
      priority: job.customer?.priority ?? job.route.priority,
      salt: saltOf(job),
      objectiveMs: job.route.objectiveMs,
      availabilityAt: (target) => partsView(this.context, job, target, store),
    };
  }

  private async attempt(job: Job, placement: Placement): Promise<Outcome> {
    const { clock, log, metrics, sights } = this.context;
    const { target } = placement;
    const begunAt = clock.monotonic();
    const { lastEventId } = this.stream;
    const resumeAfter = lastEventId === undefined ? job.request.lastEventId : String(lastEventId);
    const leftMs = job.until - begunAt;
    const source = job.route.hasPrompt ? sourceFor(this.context, job, target) : undefined;
    const addition = additionFor(this.context, job, target, leftMs, resumeAfter, source);
    const open = sights.began(target.id, placement.tokens, fetchOf(source), job.service.name);
    let outcome: Outcome;
    let status = 0;
    try {
      const sent = await send(this.context, job, target, addition, this.abort.signal);
      if (sent.isOk()) status = sent.value.wire.status;
      outcome = sent.isOk()
        ? await this.pass(job, target, sent.value, open)
        : { state: 'fault', fault: sent.error };
    } finally {
      open.ended();
    }
    if (outcome.state === 'answered') sights.succeeded(target.id);
    const result = outcome.state === 'answered' ? 'answered' : outcome.fault.kind;
    metrics.count(relayMetrics.attempts, 1, { outcome: result });
    const tookMs = clock.monotonic() - begunAt;
    const sending = { job, placement, addition, outcome, status, send: this.sends, tookMs };
    log.event(relayEvents.attempted, sendingReport(sending, this.stream, this.answer));
    return outcome;
  }

  /** Gives an answer to the caller. */
  private pass(job: Job, target: Target, answer: TargetAnswer, open: OpenRequest): Promise<Outcome> {
    const { status } = answer.wire;
    // The rest of a stream that has begun comes as a stream, or not at all.
    if (this.answer.begun && status !== SUCCESS) {
      answer.wire.abandon();
      return Promise.resolve(brokenOff(fault('engine-failed', `${status} in place of the rest of a stream`)));
    }
    if (status >= SERVER_ERROR) return passFailure(this.context, this.answer, answer);
    const isStream = job.route.kind === 'stream' && status === SUCCESS;
    return isStream ? this.stream.pass(target, answer, open) : passAnswer(this.context, this.answer, answer);
  }

  /** Whether a stream may go on at another target; the retry is taken from the budget then. */
  private mayMove(): boolean {
    return this.sends < this.maxAttempts && this.context.budgets.withdraw(this.service);
  }

  private measure(): void {
    const { metrics } = this.context;
    metrics.timing(relayMetrics.duration, this.answer.age());
    const { firstByteMs } = this.answer;
    if (firstByteMs !== undefined) metrics.timing(relayMetrics.firstByte, firstByteMs);
  }
}
