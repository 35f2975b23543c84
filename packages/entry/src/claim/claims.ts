/** At most once: claims on keys before the first byte goes to a target, and their settlement. */
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

/** What is sent to take a claim. */
export type ClaimMessage = Omit<controlMessage.ClaimRequest, '$typeName'>;
/** What is sent to settle one. */
export type SettleMessage = Omit<controlMessage.SettleRequest, '$typeName' | 'answer'> & {
  readonly answer?: KeptAnswer;
};

/** Where claims are held: a quorum of control instances. */
export interface ClaimStore {
  claim(request: ClaimMessage, timeoutMs: number): Promise<Result<controlMessage.ClaimResponse, Fault>>;
  settle(request: SettleMessage, timeoutMs: number): Promise<Result<unknown, Fault>>;
}

/** An attempt whose entry is gone. */
export interface OrphanedAttempt {
  readonly attemptId: string;
  readonly requestId: string;
  /** Agent and target's incarnation that the attempt was sent to. */
  readonly holder: ClaimHolder;
}

/** What became of asking for a key. */
export type ClaimResult =
  | { readonly type: 'granted' }
  /** The first attempt's answer. */
  | { readonly type: 'replay'; readonly answer: KeptAnswer }
  /** The entry that holds the key is gone; the agent may know how the attempt went. */
  | ({ readonly type: 'orphan' } & OrphanedAttempt)
  | { readonly type: 'refused'; readonly fault: Fault };

/** How a claimed attempt went. */
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

/** What a call's claim works with. */
export interface ClaimContext {
  readonly store: ClaimStore;
  readonly view: () => View;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timeoutMs: number;
}

/** Hash that tells whether a key comes again with the same request. */
export function fingerprintOf(call: Call): Uint8Array {
  return createHash('sha256').update(`${call.method} ${call.path}\n`).update(call.body).digest();
}

/** Takes and settles the claims of one entry. */
export class Claims {
  private readonly settler: Settler;

  constructor(private readonly context: ClaimContext) {
    this.settler = new Settler(context.clock, context.log);
  }

  /** Asks for the call's key. */
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
    // The claim may be held although its answer was lost: without this the key would stay taken for nothing.
    if (answer.error.ran !== 'not-run') void this.settle(call, attemptId, { type: 'released' });
    const { message, retryAfterMs } = answer.error;
    return refused(fault('claims-unavailable', message, { ran: 'not-run', retryAfterMs }));
  }

  /** Records how an attempt went, however long that takes. Resolves when recorded or given up. */
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

  /** Resolves when all outcomes are recorded, or after `ms`. */
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
        return refused(fault('key-reused', 'the key was used for another request; this one has not run'));
      case controlMessage.ClaimState.UNKNOWN:
      default:
        return refused(
          fault('outcome-unknown', 'the first request with this key may have run; it is not run again'),
        );
    }
  }

  private resultOfDone({ answer }: controlMessage.ClaimResponse): ClaimResult {
    if (answer !== undefined) return { type: 'replay', answer };
    return refused(fault('answer-not-kept', 'the first request with this key ran; its answer was not kept'));
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

  /** Whether the process that holds a claim may still be at work. Only a newer start of it, or its end, says no. */
  private mayBeRunning(entry: string, incarnation: bigint): boolean {
    const instance = this.context.view().instances.get(entry);
    if (instance === undefined) return false;
    return instance.incarnation === incarnation && instance.health !== 'down';
  }
}
