/** Asks other targets to take a stream over while its own target still serves it. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { FaultError, brokenStreamFault } from '@jasmineroute/engine';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { EventFramer } from '../answer/index.js';
import { relayMetrics } from '../metrics.js';
import { PROOF_MS } from '../origin/index.js';
import type { TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';
import type { TargetAttempt } from './targetAttempt.js';

/** Most targets that are asked in one handover: each takes a retry from the budget, which requests of lost targets need more. */
const MAX_ASKED = 2;

const SUCCESS = 200;

/** A target that has taken a stream over. */
export interface Successor {
  readonly attempt: TargetAttempt;
  /** Its answer, whose body is unread. */
  readonly answer: TargetAnswer;
}

/** What a handover calls back. */
export interface HandoverHooks {
  /** Begins an attempt at another target and takes the retry for it from the budget; undefined: none may be asked. */
  readonly begin: () => TargetAttempt | undefined;
  /** Records that a target did not take the stream. */
  readonly failed: (attempt: TargetAttempt, problem: Fault) => Promise<void>;
  /** Aborts when nobody waits for the stream any more. */
  readonly ended: AbortSignal;
  /** Ends the answer of the stream's own target. */
  readonly leave: () => void;
  /** Time within which a target must have begun, milliseconds; undefined: it may take as long as it needs. */
  readonly withinMs: number | undefined;
}

/** The body of an answer of which some chunks were read already. */
async function* withRead(
  read: readonly Uint8Array[],
  rest: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array, void, undefined> {
  yield* read;
  for (;;) {
    const next = await rest.next();
    if (next.done === true) return;
    yield next.value;
  }
}

/**
 * One handover. Targets are asked one after the other. Only the first event of a target shows that it has taken the stream; what is
 * known of its load and state is older than its answer.
 */
export class Handover {
  /** Resolves to the target that has taken the stream over, or to undefined when its own target keeps it. */
  readonly result: Promise<Successor | undefined>;
  /** Whether it is not decided yet. */
  isAsking = true;
  private readonly over = new AbortController();
  /** Whether the stream has lost its own target. */
  private isReleased = false;
  private cancelTimer = (): void => undefined;

  /** @param lastEventId id of the last event that the caller has. */
  constructor(
    private readonly context: RelayContext,
    private readonly hooks: HandoverHooks,
    private readonly lastEventId: number | undefined,
  ) {
    if (hooks.withinMs !== undefined) {
      this.cancelTimer = context.clock.after(hooks.withinMs, () => {
        this.stay();
      });
    }
    this.result = this.run().finally(() => {
      this.isAsking = false;
      this.cancelTimer();
    });
    // The stream awaits the result when its own answer has ended.
    this.result.catch(() => undefined);
  }

  /** The stream's own target is lost: another one may take as long as it needs. */
  release(): void {
    this.isReleased = true;
    this.cancelTimer();
  }

  /** The stream stays at its own target, unless another one has taken it by now. */
  stay(): void {
    this.over.abort(new FaultError(this.unneeded()));
  }

  /** The stream needs no other target. Resolves when none works on it. */
  async cancel(): Promise<void> {
    this.stay();
    const taken = await this.result;
    if (taken === undefined) return;
    taken.answer.wire.abandon();
    await this.hooks.failed(taken.attempt, this.unneeded());
  }

  private unneeded(): Fault {
    return fault('cancelled', 'the stream stays at its target', { ran: 'may-have-run' });
  }

  private async run(): Promise<Successor | undefined> {
    const { metrics } = this.context;
    const signal = AbortSignal.any([this.hooks.ended, this.over.signal]);
    for (let asked = 0; asked < MAX_ASKED && !signal.aborted; asked += 1) {
      const attempt = this.hooks.begin();
      if (attempt === undefined) return undefined;
      const answer = await this.ask(attempt, signal);
      metrics.count(relayMetrics.handovers, 1, { outcome: answer.isOk() ? 'taken' : answer.error.kind });
      if (answer.isOk()) {
        if (!this.isReleased) this.hooks.leave();
        return { attempt, answer: answer.value };
      }
      await this.hooks.failed(attempt, answer.error);
    }
    return undefined;
  }

  /** Asks one target. @returns its answer once the first event is there. */
  private async ask(attempt: TargetAttempt, signal: AbortSignal): Promise<Result<TargetAnswer, Fault>> {
    const sent = await attempt.ask(signal);
    if (sent.isErr()) return sent;
    const { wire } = sent.value;
    const { startProofs } = this.context;
    const proof = startProofs.prove(attempt.target, wire.connectedAt, PROOF_MS);
    const begun = await this.begun(sent.value);
    const isProven = begun.isOk() && (await Promise.race([proof, aborted(signal)]));
    if (isProven) return begun;
    wire.abandon();
    return begun.isErr()
      ? begun
      : broken(fault('stream-broken', 'another start of the target may have answered'));
  }

  /** The answer once its first event is there. */
  private async begun(answer: TargetAnswer): Promise<Result<TargetAnswer, Fault>> {
    const { wire } = answer;
    if (wire.status !== SUCCESS)
      return broken(fault('engine-failed', `the target answered ${wire.status} instead of the stream`));
    const framer = new EventFramer(this.lastEventId);
    const read: Uint8Array[] = [];
    const rest = wire.body[Symbol.asyncIterator]();
    let hasEvent = false;
    try {
      while (!hasEvent) {
        const next = await rest.next();
        // A stream may have been lost right after its last event.
        if (next.done === true && this.isReleased && wire.isFramed) break;
        if (next.done === true)
          return broken(fault('stream-broken', 'the stream ended before its first event'));
        read.push(next.value);
        hasEvent = framer.push(next.value).length > 0;
      }
    } catch (error) {
      return broken(brokenStreamFault(error));
    }
    return ok({ ...answer, wire: { ...wire, body: withRead(read, rest) } });
  }
}

/** Resolves to false when a signal aborts. */
function aborted(signal: AbortSignal): Promise<false> {
  if (signal.aborted) return Promise.resolve(false);
  return new Promise((resolve) => {
    signal.addEventListener(
      'abort',
      () => {
        resolve(false);
      },
      { once: true },
    );
  });
}

/** What a target that has the request, and may have run it, answered in place of the stream. */
const broken = (problem: Fault): Result<never, Fault> => err({ ...problem, ran: 'may-have-run' });
