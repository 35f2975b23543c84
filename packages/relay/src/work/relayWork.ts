/** One request from its head to the end of its answer. */
import type { IncomingMessage } from 'node:http';
import type { Customer, Route, RoutingTable } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { FaultError, broken, headerOf } from '@jasmineroute/engine';
import type { WireAnswer } from '@jasmineroute/engine';
import { readBody } from '@jasmineroute/entry';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { storeAddress } from '../cache/index.js';
import type { StoreUse } from '../cache/index.js';
import { EventPieces } from '../answer/index.js';
import type { CallerAnswer } from '../answer/index.js';
import type { Addition, RelayRequest } from '../dialect/index.js';
import { relayEvents } from '../events.js';
import type { Target } from '@jasmineroute/knowledge';
import { relayMetrics } from '../metrics.js';
import { QUIET_MS } from '../target/index.js';
import { drawService, withWeights } from '../placement/index.js';
import type { Placement, PlacementInput } from '../placement/index.js';
import { send } from './attempt.js';
import type { Job, TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';

/** Largest body where the configuration names none, bytes. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/** Answers up to this size, bytes, are held until whole, so that a break can be mended by another attempt. */
const HELD_BYTES = 256 * 1024;

/** A stream that leaves a target waits so long for its next event, milliseconds: some steps of a busy engine. */
const MOVE_MS = 250;

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

const SERVER_ERROR = 500;

/** What came of one attempt. */
type Outcome =
  | { readonly state: 'answered' }
  /** A failure of the target's own, which may be passed on if nothing better comes. */
  | { readonly state: 'failure'; readonly answer: () => void; readonly fault: Fault }
  | { readonly state: 'fault'; readonly fault: Fault };

/** Handles one request. */
export class RelayWork {
  private readonly abort = new AbortController();
  private sends = 0;
  /** Last event that the caller has, once a stream has begun. */
  private lastEventId: number | undefined;
  private service = '';
  /** Longest pause between two events so far, and when the last one came. */
  private pauseMs = 0;
  private eventAt: number | undefined;
  /** The running stream was given up to go on elsewhere, and its retry is taken from the budget already. */
  private moving = false;

  constructor(
    private readonly context: RelayContext,
    private readonly incoming: IncomingMessage,
    private readonly answer: CallerAnswer,
  ) {}

  /** Answers the request, whatever happens. */
  async run(): Promise<void> {
    const { dialect, knowledge } = this.context;
    const table = knowledge.table();
    if (table === undefined || !knowledge.confirmed()) {
      this.answer.fail(fault('not-configured', 'no configuration is confirmed yet'));
      return;
    }
    const request = dialect.readRequest(this.incoming);
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
    const body = await readBody(this.incoming, limit, bodies);
    if (body.isErr()) {
      this.refuse(request, body.error, route);
      return;
    }
    const name = drawService(route, this.context.random);
    const service = table.serviceOf(name);
    this.service = name;
    const calledOff = clock.after(until - clock.monotonic(), () => {
      this.abort.abort(new FaultError(fault('deadline-exceeded', 'the time of the request is over')));
    });
    const onGone = (): void => {
      this.abort.abort(this.answer.gone.reason);
    };
    this.answer.gone.addEventListener('abort', onGone, { once: true });
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
    const { budgets, log, metrics, placements, random } = this.context;
    const tried = new Set<string>();
    budgets.deposit(this.service);
    let last: Outcome = { state: 'fault', fault: fault('no-target', 'no target is ready') };
    for (;;) {
      const input = this.inputFor(job, tried);
      if (this.sends === 0 && placements.areFull(input)) {
        const retryAfterMs = FULL_RETURN_MS * (0.5 + random());
        last = { state: 'fault', fault: fault('overloaded', 'all targets are full', { retryAfterMs }) };
        break;
      }
      const placement = this.abort.signal.aborted ? undefined : placements.choose(input);
      if (placement === undefined) break;
      tried.add(placement.target.id);
      this.sends += 1;
      last = await this.attempt(job, placement);
      if (last.state === 'answered') {
        metrics.count(relayMetrics.requests, 1, { kind: job.route.kind, outcome: 'answered' });
        this.measure();
        return;
      }
      if (last.fault.kind === 'target-unreachable') this.sends -= 1;
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

  /** A time that is over is reported as such; what never left is proved not to have run. */
  private finalFault(problem: Fault): Fault {
    const { reason } = this.abort.signal as { reason: unknown };
    if (!(reason instanceof FaultError)) return problem;
    if (problem.ran === 'not-run') return fault('deadline-unmeetable', 'no target answered in time');
    return reason.fault;
  }

  private mayRepeat(job: Job, problem: Fault): boolean {
    const { clock, budgets } = this.context;
    const { route, until } = job;
    if (this.abort.signal.aborted || until - clock.monotonic() < LEAST_MS) return false;
    if (this.sends >= route.maxAttempts) return false;
    const isRepeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
    if (!isRepeatable && problem.ran !== 'not-run') return false;
    if (this.moving) {
      this.moving = false;
      return true;
    }
    // An attempt that never left is no arrival anywhere.
    return problem.kind === 'target-unreachable' || budgets.withdraw(this.service);
  }

  private inputFor(job: Job, tried: ReadonlySet<string>): PlacementInput {
    const { knowledge } = this.context;
    const ready = knowledge.targets.ready(job.service.name);
    const untried = ready.filter(({ id }) => !tried.has(id));
    const model = job.route.hasPrompt ? job.request.prompt?.model : undefined;
    const wish =
      model === undefined
        ? undefined
        : { model, resumable: job.route.resumable, moving: this.lastEventId !== undefined };
    const fresh = withWeights(untried, wish, knowledge, this.context.clock.monotonic());
    const { prompt } = job.request;
    return {
      service: job.service.name,
      candidates: fresh,
      prompt: job.route.hasPrompt ? prompt : undefined,
      priority: job.customer?.priority ?? job.route.priority,
      salt: saltOf(job),
    };
  }

  private async attempt(job: Job, placement: Placement): Promise<Outcome> {
    const { clock, log, metrics, sights } = this.context;
    const { target } = placement;
    const begunAt = clock.monotonic();
    const addition = this.additionFor(job, target, job.until - begunAt);
    sights.began(target.id);
    let outcome: Outcome;
    let status = 0;
    try {
      const sent = await send(this.context, job, target, addition, this.abort.signal);
      if (sent.isOk()) status = sent.value.wire.status;
      outcome = sent.isOk()
        ? await this.pass(job, target, sent.value)
        : { state: 'fault', fault: sent.error };
    } finally {
      sights.ended(target.id);
    }
    if (outcome.state === 'answered') sights.succeeded(target.id);
    const result = outcome.state === 'answered' ? 'answered' : outcome.fault.kind;
    metrics.count(relayMetrics.attempts, 1, { outcome: result });
    log.event(relayEvents.attempted, {
      request: job.request.id,
      route: job.route.name,
      customer: job.customer?.name,
      target: target.id,
      reason: placement.reason,
      candidates: placement.candidates,
      load: placement.load,
      loadAgeMs: placement.loadAgeMs,
      send: this.sends,
      deadlineMs: Math.round(addition.deadlineMs),
      outcome: result,
      problem: outcome.state === 'answered' ? undefined : outcome.fault.message,
      status,
      copied: addition.cacheCopy !== undefined,
      events: this.lastEventId,
      pauseMs: Math.round(this.pauseMs),
      tookMs: Math.round(clock.monotonic() - begunAt),
      firstByteMs: this.answer.firstByteMs === undefined ? undefined : Math.round(this.answer.firstByteMs),
      ageMs: Math.round(this.answer.age()),
    });
    return outcome;
  }

  private additionFor(job: Job, target: Target, leftMs: number): Addition {
    const { customer, route, request } = job;
    const weightsVersion = versionAt(target, job);
    const resumeAfter = this.lastEventId === undefined ? request.lastEventId : String(this.lastEventId);
    const cacheSalt = route.hasPrompt ? `${saltOf(job)}weights-${weightsVersion ?? 0}` : undefined;
    const { source, copy } = this.storeUse(job, cacheSalt);
    return {
      deadlineMs: Math.max(1, Math.floor(leftMs)),
      targetId: target.id,
      customer: customer?.name,
      cacheSalt,
      cacheSource: source,
      cacheCopy: copy,
      urgency: route.hasPrompt ? Math.min(9, customer?.priority ?? route.priority) : undefined,
      lastEventId: route.resumable ? resumeAfter : undefined,
      weightsVersion,
    };
  }

  private storeUse({ request }: Job, cacheSalt: string | undefined): StoreUse {
    const { knowledge, copies } = this.context;
    const table = knowledge.table();
    if (cacheSalt === undefined || request.prompt === undefined || table === undefined) return {};
    const store = storeAddress(table.configuration);
    const isLost = store !== undefined && knowledge.isStoreLost(store);
    return copies.use(isLost ? undefined : store, request.prompt, cacheSalt);
  }

  /** Gives an answer to the caller. */
  private async pass(job: Job, target: Target, answer: TargetAnswer): Promise<Outcome> {
    if (answer.wire.status >= SERVER_ERROR) return this.passFailure(answer);
    const length = Number(headerOf(answer.wire.headers, 'content-length') ?? Number.NaN);
    const isStream = job.route.kind === 'stream';
    if (isStream) return this.passEvents(job, target, answer);
    return length > HELD_BYTES ? this.passBytes(answer) : this.passWhole(answer);
  }

  /** Reads a failure whole, to be passed on if no other attempt does better. */
  private async passFailure({ wire }: TargetAnswer): Promise<Outcome> {
    const body = await wholeBody(wire.body);
    if (body.isErr()) return { state: 'fault', fault: body.error };
    const headers = this.context.dialect.callerHeaders(wire.headers);
    return {
      state: 'failure',
      fault: fault('engine-failed', `the target answered ${wire.status}`, { ran: 'ran' }),
      answer: () => {
        this.answer.whole(wire.status, headers, body.value);
      },
    };
  }

  /** Reads an answer whole before any of it goes out. */
  private async passWhole({ wire }: TargetAnswer): Promise<Outcome> {
    const body = await wholeBody(wire.body);
    if (body.isErr()) return { state: 'fault', fault: body.error };
    this.answer.whole(wire.status, this.context.dialect.callerHeaders(wire.headers), body.value);
    return { state: 'answered' };
  }

  private async passBytes({ wire }: TargetAnswer): Promise<Outcome> {
    this.answer.begin(wire.status, this.context.dialect.callerHeaders(wire.headers));
    try {
      for await (const piece of wire.body) await this.answer.write(piece);
    } catch (error) {
      return this.brokenOff(broken(error));
    }
    this.answer.end();
    return { state: 'answered' };
  }

  /** Passes events as they come, whole ones only. */
  private async passEvents(job: Job, target: Target, { wire }: TargetAnswer): Promise<Outcome> {
    const pieces = new EventPieces(this.lastEventId);
    const { sights, clock } = this.context;
    let calledOff = (): void => undefined;
    const watched = this.watchQuiet(job, target, wire);
    const noMove = this.context.knowledge.targets.onPause((id) => {
      if (id !== target.id || !this.mayMove(job)) return;
      // Between two events, as close to the last one as can be: its caller counts the pause from there.
      calledOff();
      calledOff = clock.after(MOVE_MS, () => {
        wire.abandon();
      });
    });
    // Not before the first event: a target that is lost before it leaves nothing of its answer behind.
    const begin = (): void => {
      this.answer.begin(wire.status, this.context.dialect.callerHeaders(wire.headers));
    };
    try {
      for await (const chunk of wire.body) {
        sights.heard(target.id);
        const events = pieces.push(chunk);
        if (events.length === 0) continue;
        begin();
        this.lastEventId = pieces.lastId;
        this.notePause();
        await this.answer.write(events);
        if (this.moving) wire.abandon();
      }
    } catch (error) {
      wire.abandon();
      return this.brokenOff(broken(error));
    } finally {
      noMove();
      calledOff();
      watched();
    }
    if (pieces.pending.length > 0) return this.brokenOff(fault('stream-broken', 'it ended inside an event'));
    begin();
    this.answer.end();
    return { state: 'answered' };
  }

  /**
   * Lets a stream that may go on elsewhere leave a target that seems lost. Only then: the silence of one stream alone is
   * no reason, as it may wait for its turn in a batch. Returns the way to stop.
   */
  private watchQuiet(job: Job, target: Target, wire: WireAnswer): () => void {
    const { sights, clock } = this.context;
    let calledOff: () => void;
    const look = (): void => {
      if (sights.isQuiet(target.id) && this.mayMove(job)) wire.abandon();
      else calledOff = clock.after(QUIET_MS / 2, look);
    };
    calledOff = clock.after(QUIET_MS, look);
    return () => {
      calledOff();
    };
  }

  private notePause(): void {
    const now = this.context.clock.monotonic();
    if (this.eventAt !== undefined) this.pauseMs = Math.max(this.pauseMs, now - this.eventAt);
    this.eventAt = now;
  }

  /**
   * Whether a stream may leave a target that pauses. The target waits for its runs before it loads new weights, up to
   * several seconds for a long one, and takes no other work meanwhile; a stream that goes on elsewhere after its last
   * event loses some ms.
   */
  private mayMove({ route }: Job): boolean {
    if (!route.resumable || this.moving || this.sends >= route.maxAttempts) return false;
    this.moving = this.context.budgets.withdraw(this.service);
    return this.moving;
  }

  private brokenOff(problem: Fault): Outcome {
    return { state: 'fault', fault: { ...problem, ran: 'may-have-run' } };
  }

  private measure(): void {
    const { metrics } = this.context;
    metrics.timing(relayMetrics.duration, this.answer.age());
    const { firstByteMs } = this.answer;
    if (firstByteMs !== undefined) metrics.timing(relayMetrics.firstByte, firstByteMs);
  }
}

interface Admitted {
  readonly route: Route;
  readonly customer?: Customer;
}

/** The route and customer of a request. */
function admit(table: RoutingTable, request: RelayRequest): Result<Admitted, Fault> {
  const route = table.routeOf(request.host, request.path);
  if (route === undefined) return err(fault('unknown-route', `no route for ${request.host}${request.path}`));
  const customer = request.key === undefined ? undefined : table.customerOf(request.key);
  const needsKey = table.needsKeys && !route.open;
  if (needsKey && customer === undefined) return err(fault('unauthenticated', 'the key is not known'));
  return ok({ route, customer });
}

/** Keeps cached blocks apart of a customer that shares with nobody. */
function saltOf({ customer }: Job): string {
  return customer?.isolated === true ? `customer-${customer.name} ` : '';
}

/**
 * Version of the weights that a target announced. The request names it, so that a target whose weights changed since
 * refuses rather than run it on cache of other weights.
 */
function versionAt(target: Target, { request, route }: Job): number | undefined {
  return route.hasPrompt && request.prompt !== undefined
    ? target.weights.get(request.prompt.model)
    : undefined;
}

async function wholeBody(body: AsyncIterable<Uint8Array>): Promise<Result<Uint8Array, Fault>> {
  const parts: Uint8Array[] = [];
  try {
    for await (const part of body) parts.push(part);
  } catch (error) {
    return err(broken(error));
  }
  return ok(Buffer.concat(parts));
}
