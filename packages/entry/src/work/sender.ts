/** Sends the attempts of one call to the gates of agents. */
import { create } from '@bufbuild/protobuf';
import { carrierOf, endHop, startHop } from '@jasmineroute/core';
import type { Carrier, HopSpan, Ran } from '@jasmineroute/core';
import type { HeaderField } from '@jasmineroute/engine';
import { gateMessage } from '@jasmineroute/protocol';
import { encodeChain } from '@jasmineroute/routing';
import type { Answer } from '../answer/index.js';
import { Attempt } from '../gate/index.js';
import type { AttemptRef, AttemptOutcome } from '../gate/index.js';
import { entryMetrics } from '../metrics.js';
import type { EntryContext } from './context.js';
import type { PlacedAttempt, ActiveCall } from './plan.js';
import { loadOf } from './gateMessages.js';

const TRACE_FIELDS: ReadonlySet<string> = new Set(['traceparent', 'tracestate']);

/** Sends attempts, one at a time. */
export class Sender {
  private isSending = false;

  constructor(
    private readonly context: EntryContext,
    private readonly active: ActiveCall,
    private readonly answer: Answer,
  ) {}

  /** Whether an attempt is in flight. */
  get busy(): boolean {
    return this.isSending;
  }

  /** Sends one attempt, follows it to its end, and reports start, first token and end to the policy. */
  async send(placed: PlacedAttempt): Promise<AttemptOutcome> {
    const { clock, metrics } = this.context;
    const { placement, job } = placed;
    const { candidate, policy } = placement;
    const hop = startHop('gate.run', 'client', { parent: this.active.span });
    const began = clock.monotonic();
    const firstTokenMs = (): number | undefined => {
      const { firstChunkAt } = this.answer;
      return firstChunkAt === undefined ? undefined : firstChunkAt - began;
    };
    this.answer.expectFirstChunk(() => {
      policy.settled({ candidate, job, phase: 'first-token', ok: true, firstTokenMs: firstTokenMs() });
    });
    policy.dispatched(candidate, job);
    const outcome = await this.followAttempt(candidate.address, placed.ref, (attempt) =>
      attempt.run(this.createMessage(placed, hop)),
    );
    const end = outcome.type === 'ended' ? outcome.end : undefined;
    const ok = outcome.type === 'ended';
    const { cachedTokens } = end ?? {};
    const load = loadOf(end?.load);
    const report = { ok, firstTokenMs: firstTokenMs(), cachedTokens, load };
    policy.settled({ candidate, job, phase: 'end', ...report });
    if (load !== undefined) this.context.admissions.of(job.service).observe(load);
    metrics.count(entryMetrics.attempts, 1, { outcome: outcome.type });
    endHop(hop, outcome.type === 'ended' ? undefined : outcome.type);
    return outcome;
  }

  /** Follows an attempt that another entry sent, from its first event. */
  attach(address: string, ref: AttemptRef): Promise<AttemptOutcome> {
    return this.followAttempt(address, ref, (attempt) => attempt.attach());
  }

  /** Cancels an attempt. @returns its proven run state. */
  cancel({ placement, ref }: PlacedAttempt): Promise<Ran> {
    return this.context.clients.cancel(placement.candidate.address, ref);
  }

  private async followAttempt(
    address: string,
    ref: AttemptRef,
    run: (attempt: Attempt) => Promise<AttemptOutcome>,
  ): Promise<AttemptOutcome> {
    const { settings, clients, clock, log, metrics } = this.context;
    const repeatable = this.active.call.idempotent;
    const context = { clients, clock, log, metrics, repeatable, bounds: settings };
    this.isSending = true;
    try {
      return await run(new Attempt(context, address, ref, this.answer, this.active.stop));
    } finally {
      this.isSending = false;
    }
  }

  private createMessage({ plan, job, placement, ref }: PlacedAttempt, hop: HopSpan): gateMessage.RunRequest {
    const { call, remainingMs } = this.active;
    return create(gateMessage.RunRequestSchema, {
      ...ref,
      service: call.service.service,
      customer: call.customer,
      model: job.model,
      adapter: call.model?.prompt.adapter ?? '',
      weightsVersion: job.weightsVersion ?? '',
      method: call.method,
      path: call.path,
      headers: withTraceContext(call.headers, carrierOf(hop)),
      body: plan.body,
      priority: call.priority,
      deadlineMs: remainingMs(),
      idempotent: call.idempotent,
      resumeTokens: plan.tokens,
      chain: encodeChain(job.chain),
      promptTokens: job.promptTokens,
      importFrom: placement.importFrom,
    });
  }
}

/** Replaces the caller's trace context with that of this hop. Without tracing, the caller's is forwarded. */
function withTraceContext(headers: readonly HeaderField[], carrier: Carrier): HeaderField[] {
  const own = Object.entries(carrier).map(([name, value]) => ({ name, value }));
  if (own.length === 0) return [...headers];
  return [...headers.filter(({ name }) => !TRACE_FIELDS.has(name)), ...own];
}
