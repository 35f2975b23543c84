/**
 * At-most-once execution: a claim on the call's key is acquired before the first byte goes to a target, and settled
 * later.
 */
import { createHash } from 'node:crypto';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { View } from '@jasmineroute/directory';
import type { KeptAnswer } from '../answer/index.js';
import type { Call } from '../call/index.js';
import { entryMetrics } from '../metrics.js';
import { decodeHolder, encodeHolder, parseAttemptId } from './attemptId.js';
import type { ClaimHolder } from './attemptId.js';
import { Settler } from './settler.js';

/** Request to acquire a claim. */
export type ClaimMessage = Omit<controlMessage.ClaimRequest, '$typeName'>;
/** Request to settle a claim. */
export type SettleMessage = Omit<controlMessage.SettleRequest, '$typeName' | 'answer'> & {
  readonly answer?: KeptAnswer;
};

/** Store of the claims, replicated by a quorum of the control instances. */
export interface ClaimStore {
  claim(request: ClaimMessage, timeoutMs: number): Promise<Result<controlMessage.ClaimResponse, Fault>>;
  settle(request: SettleMessage, timeoutMs: number): Promise<Result<unknown, Fault>>;
}

/** An attempt whose entry is gone. */
export interface OrphanedAttempt {
  readonly attemptId: string;
  readonly requestId: string;
  /** The agent, and the incarnation of its target, that the attempt was sent to. */
  readonly holder: ClaimHolder;
}

/** Result of trying to acquire a claim. */
export type ClaimResult =
  | { readonly type: 'granted' }
  /** The call has run before; this is the stored answer. */
  | { readonly type: 'replay'; readonly answer: KeptAnswer }
  /** The entry that holds the claim is gone; the agent may know the outcome of its attempt. */
  | ({ readonly type: 'orphan' } & OrphanedAttempt)
  | { readonly type: 'refused'; readonly fault: Fault };

/** Outcome of an attempt under a claim. */
export type AttemptSettlement =
  | { readonly type: 'released' }
  | { readonly type: 'unknown' }
  | { readonly type: 'done'; readonly answer: KeptAnswer | undefined };

const settlementCodes: Record<AttemptSettlement['type'], controlMessage.Settlement> = {
  released: controlMessage.Settlement.RELEASED,
  unknown: controlMessage.Settlement.UNKNOWN,
  done: controlMessage.Settlement.DONE,
};

const refused = (reason: Fault): ClaimResult => ({ type: 'refused', fault: reason });

/** Dependencies of `Claims`. */
export interface ClaimContext {
  readonly store: ClaimStore;
  readonly view: () => View;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timeoutMs: number;
}

/** Hash that shows whether a key is reused for a different request. */
export function fingerprintOf(call: Call): Uint8Array {
  return createHash('sha256').update(`${call.method} ${call.path}\n`).update(call.body).digest();
}

/** Acquires and settles claims for one entry. */
export class Claims {
  private readonly settler: Settler;

  constructor(private readonly context: ClaimContext) {
    this.settler = new Settler(context.clock, context.log);
  }

  /** Tries to acquire a claim on the call's key. */
  async acquire(call: Call, attemptId: string, holder: ClaimHolder): Promise<ClaimResult> {
    const { store, clock, metrics, timeoutMs } = this.context;
    const began = clock.monotonic();
    const answer = await store.claim(
      {
        service: call.service.service,
        customer: call.customer,
        key: call.claimKey,
        attemptId,
        fingerprint: fingerprintOf(call),
        windowMs: BigInt(call.service.claims.window),
        agent: encodeHolder(holder),
      },
      Math.min(timeoutMs, call.deadlineMs),
    );
    metrics.timing(entryMetrics.claims, clock.monotonic() - began);
    if (answer.isOk()) return this.resultOf(answer.value, attemptId);
    // The claim may have been stored although the response was lost. Without a release the key would stay claimed.
    if (answer.error.ran !== 'not-run') void this.settle(call, attemptId, { type: 'released' });
    const { message, retryAfterMs } = answer.error;
    return refused(fault('claims-unavailable', message, { ran: 'not-run', retryAfterMs }));
  }

  /** Records the outcome of an attempt, retrying as long as needed. Resolves when it is recorded or dropped. */
  settle(call: Call, attemptId: string, settlement: AttemptSettlement): Promise<void> {
    const { store, timeoutMs } = this.context;
    const message: SettleMessage = {
      service: call.service.service,
      customer: call.customer,
      key: call.claimKey,
      attemptId,
      settlement: settlementCodes[settlement.type],
      answer: settlement.type === 'done' ? settlement.answer : undefined,
    };
    return this.settler.settle({ attemptId, send: () => store.settle(message, timeoutMs) });
  }

  /** Resolves when all outcomes are recorded, or after `ms` at the latest. */
  idle(ms: number): Promise<void> {
    return this.settler.idle(ms);
  }

  private resultOf(answer: controlMessage.ClaimResponse, attemptId: string): ClaimResult {
    switch (answer.state) {
      case controlMessage.ClaimState.GRANTED:
        return { type: 'granted' };
      case controlMessage.ClaimState.RUNNING:
        return this.resultOfRunning(answer, attemptId);
      case controlMessage.ClaimState.DONE:
        return this.resultOfDone(answer);
      case controlMessage.ClaimState.MISMATCH:
        return refused(
          fault('key-reused', 'the key was already used for a different request; this one was not run'),
        );
      case controlMessage.ClaimState.UNKNOWN:
      default:
        return refused(
          fault('outcome-unknown', 'the first request with this key may have run; it will not be run again'),
        );
    }
  }

  private resultOfDone({ answer }: controlMessage.ClaimResponse): ClaimResult {
    if (answer !== undefined) return { type: 'replay', answer };
    return refused(
      fault('answer-not-kept', 'the first request with this key ran; its answer was not stored'),
    );
  }

  private resultOfRunning(
    { attemptId, agent }: controlMessage.ClaimResponse,
    ownAttemptId: string,
  ): ClaimResult {
    if (attemptId === ownAttemptId) return { type: 'granted' };
    const origin = parseAttemptId(attemptId);
    if (origin === undefined || this.mayBeRunning(origin.entry, origin.incarnation)) {
      return refused(fault('already-running', 'the first request with this key is still running'));
    }
    return { type: 'orphan', attemptId, requestId: origin.requestId, holder: decodeHolder(agent) };
  }

  /** Whether the process that holds a claim may still be running it: false only if it was restarted or is down. */
  private mayBeRunning(entry: string, incarnation: bigint): boolean {
    const instance = this.context.view().instances.get(entry);
    if (instance === undefined) return false;
    return instance.incarnation === incarnation && instance.health !== 'down';
  }
}
