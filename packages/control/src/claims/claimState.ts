/** Claims as replicated state: at most one attempt holds an idempotency key. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';
import type { CommandHandlers, Feature, LogTime } from '../state/index.js';
import { fingerprintWords, hashAttempt, hashClaimKey, hashFingerprint } from './claimHash.js';
import { KeptAnswers } from './keptAnswers.js';
import { OpenClaims } from './openClaims.js';
import type { OpenClaim } from './openClaims.js';
import { EXPIRY_UNIT_MS } from './segment.js';
import type { SettledClaim } from './segment.js';
import { SettledTable, expiryUnitOf } from './settledTable.js';

const { ClaimState: State, Settlement } = controlMessage;

/** Longest window for which a settled key is remembered, milliseconds. */
export const MAX_WINDOW_MS = 30 * 24 * 3_600_000;

/**
 * Minimum time for which an unsettled claim is held, milliseconds, however short the window: if the claim of a running
 * request expired, a resend would run the request a second time.
 */
export const MIN_OPEN_CLAIM_MS = 24 * 3_600_000;

/**
 * Time for which a released attempt is remembered, milliseconds. Otherwise a copy of its claim that arrives after the
 * release would be granted the key for an attempt that has ended, and nobody would settle it.
 */
export const RELEASED_RETENTION_MS = 120_000;

/** Fingerprint of a claim that has not arrived. */
const NO_FINGERPRINT = new Uint8Array();

type Response = MessageInitShape<typeof controlMessage.ClaimResponseSchema>;
type Outcome = MessageInitShape<typeof stateMessage.ClaimOutcomeSchema>;

/** Hash of a key in the two forms that the tables use. */
interface ClaimKey {
  readonly text: string;
  readonly words: Uint32Array;
}

/** Limits that a settle command carries. */
type Limits = Pick<stateMessage.SettleClaim, 'maxAnswerBytes' | 'maxClaims'>;

/** A settlement by the attempt that holds the key. */
interface HolderSettlement {
  readonly key: ClaimKey;
  readonly open: OpenClaim;
  readonly request: controlMessage.SettleRequest;
  readonly limits: Limits;
  readonly now: LogTime;
}

/** Applies a settlement; returns whether it took effect. */
type Settle = (settlement: HolderSettlement) => boolean;

/** The claims of all services. */
export class ClaimState implements Feature {
  private readonly open = new OpenClaims();
  private readonly settled = new SettledTable();
  private readonly answers = new KeptAnswers();
  private expiryUnit = 0;

  readonly handlers: CommandHandlers = {
    claim: ({ request, maxClaims }, now) => ({ case: 'claim', value: this.claim(request, maxClaims, now) }),
    settle: (command, now) => {
      const { request } = command;
      const settled = request !== undefined && this.settle(request, command, now);
      return { case: 'settle', value: { settled } };
    },
  };

  /** Number of open and settled claims. */
  size(): number {
    return this.open.size() + this.settled.size();
  }

  /** Bytes of the settled claims and the kept answers. */
  bytes(): number {
    return this.settled.bytes() + this.answers.bytes();
  }

  advanceTo(now: LogTime): void {
    if (expiryUnitOf(now) === this.expiryUnit) return;
    this.expiryUnit = expiryUnitOf(now);
    this.open.removeExpired(now);
    this.settled.advanceTo(now);
    this.answers.removeExpired(now);
  }

  hasPendingExpiry(): boolean {
    return this.size() > 0;
  }

  snapshot(): Uint8Array {
    const snapshot = create(stateMessage.ClaimsSnapshotSchema, {
      open: this.open.snapshot(),
      settled: this.settled.snapshot(),
      answers: this.answers.snapshot(),
    });
    return toBinary(stateMessage.ClaimsSnapshotSchema, snapshot);
  }

  restore(data: Uint8Array, now: LogTime): void {
    const snapshot = fromBinary(stateMessage.ClaimsSnapshotSchema, data);
    this.expiryUnit = expiryUnitOf(now);
    this.open.restore(snapshot.open);
    this.settled.restore(snapshot.settled, now);
    this.answers.restore(snapshot.answers);
  }

  private claim(request: controlMessage.ClaimRequest | undefined, max: number, now: LogTime): Outcome {
    if (request === undefined) return { full: true };
    const key = keyOf(request);
    const open = this.open.find(key.text);
    if (open !== undefined) return { response: responseForOpen(open, request) };
    const settled = this.settled.find(key.words);
    if (settled !== undefined && !this.isAvailable(settled, request)) {
      return { response: this.responseForSettled(settled, key, request) };
    }
    if (this.size() >= max) return { full: true };
    this.grant(key, request, now);
    return { response: { state: State.GRANTED, attemptId: request.attemptId, agent: request.agent } };
  }

  private isAvailable(settled: SettledClaim, request: controlMessage.ClaimRequest): boolean {
    return settled.released && settled.attempt !== hashAttempt(request.attemptId);
  }

  private grant(key: ClaimKey, request: controlMessage.ClaimRequest, now: LogTime): void {
    const windowMs = Math.min(Number(request.windowMs), MAX_WINDOW_MS);
    const { attemptId, agent } = request;
    const fingerprint = hashFingerprint(request.fingerprint);
    const expires = now + Math.max(windowMs, MIN_OPEN_CLAIM_MS);
    this.settled.remove(key.words);
    this.open.put(key.text, { attemptId, agent, fingerprint, windowMs, expires, unknown: false });
  }

  private responseForSettled(
    settled: SettledClaim,
    key: ClaimKey,
    request: controlMessage.ClaimRequest,
  ): Response {
    if (settled.released) return { state: State.UNKNOWN, attemptId: request.attemptId };
    const [first, second] = fingerprintWords(hashFingerprint(request.fingerprint));
    if (settled.fingerprint[0] !== first || settled.fingerprint[1] !== second) {
      return { state: State.MISMATCH };
    }
    return { state: State.DONE, answer: this.answers.find(key.text) };
  }

  private settle(request: controlMessage.SettleRequest, limits: Limits, now: LogTime): boolean {
    const key = keyOf(request);
    const open = this.open.find(key.text);
    if (open?.attemptId === request.attemptId) {
      return this.settlements[request.settlement]({ key, open, request, limits, now });
    }
    const isFree = open === undefined && this.settled.find(key.words) === undefined;
    if (isFree && request.settlement === Settlement.RELEASED)
      return this.releaseBeforeClaim(key, request, limits, now);
    return this.isSettled(key, request);
  }

  /**
   * Records the release of a claim that has not arrived yet. An entry that gets no answer to its claim releases it,
   * and the claim can arrive later: granted then, it would hold the key for an attempt that has ended.
   */
  private releaseBeforeClaim(
    key: ClaimKey,
    request: controlMessage.SettleRequest,
    limits: Limits,
    now: LogTime,
  ): boolean {
    if (this.size() >= limits.maxClaims) return false;
    const fingerprint = hashFingerprint(NO_FINGERPRINT);
    this.close(key, { attemptId: request.attemptId, fingerprint }, true, now + RELEASED_RETENTION_MS);
    return true;
  }

  /** Whether this settlement has already taken effect, so that a resend gets the same answer. */
  private isSettled(key: ClaimKey, request: controlMessage.SettleRequest): boolean {
    const settled = this.settled.find(key.words);
    if (settled?.attempt !== hashAttempt(request.attemptId)) return false;
    return request.settlement === (settled.released ? Settlement.RELEASED : Settlement.DONE);
  }

  private readonly settlements: Readonly<Record<controlMessage.Settlement, Settle>> = {
    [Settlement.UNSPECIFIED]: () => false,
    [Settlement.RELEASED]: ({ key, open, now }) => {
      this.close(key, open, true, now + RELEASED_RETENTION_MS);
      return true;
    },
    [Settlement.DONE]: ({ key, open, request: { answer }, limits, now }) => {
      const expires = now + open.windowMs;
      this.close(key, open, false, expires);
      if (answer !== undefined) this.answers.put(key.text, answer, expires, Number(limits.maxAnswerBytes));
      return true;
    },
    [Settlement.UNKNOWN]: ({ key, open, now }) => {
      const expires = now + Math.max(open.windowMs, MIN_OPEN_CLAIM_MS);
      this.open.put(key.text, { ...open, unknown: true, expires });
      return true;
    },
  };

  private close(
    key: ClaimKey,
    open: Pick<OpenClaim, 'attemptId' | 'fingerprint'>,
    released: boolean,
    expires: LogTime,
  ): void {
    this.open.remove(key.text);
    this.settled.put({
      key: key.words,
      fingerprint: fingerprintWords(open.fingerprint),
      attempt: hashAttempt(open.attemptId),
      released,
      expiryUnit: Math.ceil(expires / EXPIRY_UNIT_MS) + 1,
    });
  }
}

function keyOf(request: { service: string; customer: string; key: string }): ClaimKey {
  const hash = hashClaimKey(request.service, request.customer, request.key);
  const words = Uint32Array.from([0, 4, 8, 12], (offset) => hash.readUInt32LE(offset));
  return { text: hash.toString('hex'), words };
}

function responseForOpen(open: OpenClaim, request: controlMessage.ClaimRequest): Response {
  const { attemptId, agent, unknown } = open;
  if (open.fingerprint !== hashFingerprint(request.fingerprint)) return { state: State.MISMATCH };
  if (unknown) return { state: State.UNKNOWN, attemptId, agent };
  const state = attemptId === request.attemptId ? State.GRANTED : State.RUNNING;
  return { state, attemptId, agent };
}
