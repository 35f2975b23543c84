/** Forwards a stream of events from targets to one caller. */
import { fault } from '@jasmineroute/core';
import { brokenStreamFault } from '@jasmineroute/engine';
import type { WireAnswer } from '@jasmineroute/engine';
import type { Target } from '@jasmineroute/knowledge';
import { EventFramer } from '../answer/index.js';
import type { CallerAnswer } from '../answer/index.js';
import { relayMetrics } from '../metrics.js';
import { PROOF_MS } from '../origin/index.js';
import { UNRESPONSIVE_MS } from '../target/index.js';
import type { OpenRequest } from '../target/index.js';
import type { TargetAnswer } from './attempt.js';
import type { RelayContext } from './context.js';
import { interrupted } from './forward.js';
import type { ForwardOutcome, MoveReason, Outcome } from './forward.js';
import { Handover } from './handover.js';
import type { HandoverHooks, Successor } from './handover.js';

/** How long a stream that leaves a target waits for its next event, milliseconds: some steps of a busy engine. */
const MOVE_TIMEOUT_MS = 250;

/**
 * Time within which the beginning of a stream can still be proven, milliseconds: its caller may take it up so late, and its
 * events don't wait for that.
 */
const BEGINNING_PROOF_MS = 10_000;

/**
 * Time within which another target must begin the stream of one that pauses, milliseconds: what that sends meanwhile is held, and two
 * targets may work on one stream for 400 ms.
 */
const PAUSED_HANDOVER_MS = 300;

/** How a stream goes by its own target during a handover. */
interface HandoverRule extends Pick<HandoverHooks, 'withinMs'> {
  /** What data of its own target means: it is held, or the target is not lost. */
  readonly onData: 'hold' | 'stay';
}

/**
 * A target that only pauses goes on until another one has begun with the same events. One that is silent is more often lost than not,
 * and there is nothing to hold; if it sends again, it is not lost.
 */
const handoverRules: Readonly<Record<MoveReason, HandoverRule>> = {
  paused: { withinMs: PAUSED_HANDOVER_MS, onData: 'hold' },
  unresponsive: { withinMs: undefined, onData: 'stay' },
};

/** Delay of a check for silence from which on this process may have been the one that stood still, milliseconds. */
const MAX_CHECK_DELAY_MS = 100;

/** Time in which this process reads what came while it stood still, milliseconds. */
const CATCH_UP_MS = 100;

/** What a stream calls back. */
export interface StreamHooks extends Omit<HandoverHooks, 'leave' | 'withinMs'> {
  /** Whether the request may be sent to another target once one has run it. */
  readonly mayBeSentOn: () => boolean;
  /** Records the software version that began the stream. */
  readonly recordOrigin: (softwareVersion: string) => void;
}

/** The event stream of one request, across all targets that run it. */
export class Stream {
  /** Id of the last event sent to the caller; undefined if there is none yet. */
  lastEventId: number | undefined;
  /** Longest pause between two events so far, milliseconds. */
  pauseMs = 0;
  /** Whether the stream is to look for another target after its next event. */
  private isMoveWanted = false;
  /** The last time that other targets were asked to take the stream from its present one. */
  private handover: Handover | undefined;
  /** What it means for that if its present target sends something. */
  private onData: HandoverRule['onData'] = 'hold';
  /** Why the stream has left its present target; undefined: it has not. */
  private left: MoveReason | undefined;
  /** The target that has taken the stream. */
  private successor: Successor | undefined;
  /** Software version that began the stream at another entry; undefined: the stream begins here. */
  resumedVersion: string | undefined;
  private eventAt: number | undefined;
  /** Target that sent the last event; its software version is that of the whole stream. */
  private eventFrom: Target | undefined;
  /** Monotonic time of the last event from the current target. */
  private targetEventAt: number | undefined;
  private isRecorded = false;
  /** Whether the target that began the stream is known to be the start that it was taken for. */
  private isBeginningProven = false;
  /** Resolves when that has been decided. */
  private decided: Promise<void> | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly answer: CallerAnswer,
    private readonly hooks: StreamHooks,
  ) {}

  /** Forwards events as they arrive, each only once it is complete. */
  async forward(target: Target, { wire }: TargetAnswer, open: OpenRequest): Promise<ForwardOutcome> {
    const { startProofs } = this.context;
    if (this.hasBegun && !(await startProofs.prove(target, wire.connectedAt, PROOF_MS))) {
      wire.abandon();
      this.context.metrics.count(relayMetrics.unproven, 1);
      return interrupted(fault('stream-broken', 'another start of the target may have answered'));
    }
    this.targetEventAt = undefined;
    this.handover = undefined;
    this.left = undefined;
    const stopWatching = [this.watchUnresponsive(target, wire), this.watchTargetPause(target, wire)];
    try {
      return await this.handedOver(await this.forwardEvents(target, wire, open));
    } finally {
      for (const end of stopWatching) end();
    }
  }

  /** The target that has taken the stream over, for the answer that was left for it. */
  takeSuccessor(): Successor | undefined {
    const { successor } = this;
    this.successor = undefined;
    return successor;
  }

  /** What came of an answer: another target may have taken the stream, or may still take it when its own one is lost. */
  private async handedOver(outcome: Outcome): Promise<ForwardOutcome> {
    if (outcome.state === 'answered') {
      await this.handover?.cancel();
      return outcome;
    }
    this.handover?.release();
    this.successor = await this.handover?.result;
    return this.successor === undefined ? outcome : { state: 'left', reason: this.left ?? 'lost' };
  }

  private async forwardEvents(target: Target, wire: WireAnswer, open: OpenRequest): Promise<Outcome> {
    try {
      return await this.forwardBody(target, wire, open);
    } catch (error) {
      wire.abandon();
      return interrupted(brokenStreamFault(error));
    }
  }

  /** @throws Error when the answer breaks off or is abandoned. */
  private async forwardBody(target: Target, wire: WireAnswer, open: OpenRequest): Promise<Outcome> {
    let hasEvents = false;
    const framer = new EventFramer(this.lastEventId);
    // Headers are sent with the first event, so that nothing of the answer of a target that is lost earlier reaches
    // the caller.
    const begin = (): void => {
      this.answer.begin(wire.status, this.context.dialect.callerHeaders(wire.headers));
    };
    for await (const chunk of wire.body) {
      this.context.monitor.recordActivity(target.id);
      if (this.handover?.isAsking === true) await this.handoverDecided(this.handover);
      if (this.left !== undefined) throw new Error('the stream has left its target');
      const events = framer.push(chunk);
      if (events.length === 0) continue;
      hasEvents = true;
      open.markRead();
      begin();
      this.recordTarget(target, wire.connectedAt);
      this.recordEvent(target.id, framer.lastId);
      await this.answer.write(events);
      if (this.isMoveWanted) this.findSuccessor(wire, 'paused');
    }
    if (framer.pending.length > 0)
      return interrupted(fault('stream-broken', 'the stream ended inside an event'));
    // Without a length or chunks, the end of a target right after its headers looks like that of an empty stream.
    if (!wire.isFramed && !hasEvents)
      return interrupted(fault('stream-broken', 'the stream ended before its first event'));
    begin();
    this.answer.end();
    return { state: 'answered' };
  }

  /** Whether the caller has events of the stream. */
  private get hasBegun(): boolean {
    return this.resumedVersion !== undefined || this.eventFrom !== undefined;
  }

  /** Waits until the software version that began the stream is known, for as long as an answer waits for its proof. */
  async settled(): Promise<void> {
    if (this.decided === undefined) return;
    const isOver = new AbortController();
    const waited = this.context.clock.sleep(PROOF_MS, isOver.signal).catch(() => undefined);
    await Promise.race([this.decided, waited]);
    isOver.abort();
  }

  private recordEvent(targetId: string, eventId: number): void {
    const now = this.context.clock.monotonic();
    this.lastEventId = eventId;
    if (this.eventAt !== undefined) this.pauseMs = Math.max(this.pauseMs, now - this.eventAt);
    if (this.targetEventAt !== undefined)
      this.context.monitor.pace.recordPause(targetId, now - this.targetEventAt);
    this.eventAt = now;
    this.targetEventAt = now;
  }

  /**
   * Whether a target may send the next event. Events of two software versions don't fit together, so a stream goes on only
   * at the version that began it; an unknown version equals no other.
   */
  mayGoOnAt(target: Target): boolean {
    const version = this.softwareVersion();
    return version === undefined || (version !== '' && version === target.softwareVersion);
  }

  /** Software version that began the stream; empty: not known, undefined: no event has been sent yet. */
  private softwareVersion(): string | undefined {
    const { eventFrom, resumedVersion } = this;
    if (eventFrom === undefined || resumedVersion !== undefined) return resumedVersion;
    if (!this.isBeginningProven) return '';
    // A target may be announced without its version first.
    const { targets } = this.context.knowledge;
    return eventFrom.softwareVersion === ''
      ? targets.softwareVersionOf(eventFrom.id)
      : eventFrom.softwareVersion;
  }

  /** Counts a stream that goes on at another target. */
  private recordTarget(target: Target, connectedAt: number): void {
    const before = this.eventFrom;
    if (!this.hasBegun) this.proveBeginning(target, connectedAt);
    if (before !== undefined && before.id !== target.id) {
      const version = this.mayGoOnAt(target) ? 'same' : 'other';
      this.context.metrics.count(relayMetrics.continued, 1, { version });
    }
    this.eventFrom = target;
    this.recordOrigin();
  }

  /** Finds out whether the target that sends the first event is the start that it is taken for. */
  private proveBeginning(target: Target, connectedAt: number): void {
    const { startProofs } = this.context;
    this.isBeginningProven = startProofs.isProven(target, connectedAt);
    if (this.isBeginningProven) return;
    this.decided = startProofs.prove(target, connectedAt, BEGINNING_PROOF_MS).then((isProven) => {
      this.isBeginningProven = isProven;
      this.recordOrigin();
    });
  }

  /** Records the version that began the stream as soon as it is known, so that callers can resume it at other entries. */
  private recordOrigin(): void {
    const version = this.softwareVersion() ?? '';
    if (this.isRecorded || version === '') return;
    this.isRecorded = true;
    this.hooks.recordOrigin(version);
  }

  /**
   * Asks other targets to take the stream, and leaves its own when one has. It stays when none does: what looks ready may be full or
   * about to pause, and a target that only pauses or is silent may still finish the stream.
   */
  private findSuccessor(wire: WireAnswer, reason: MoveReason): void {
    if (this.handover?.isAsking === true || this.left !== undefined) return;
    this.isMoveWanted = false;
    const leave = (): void => {
      this.left = reason;
      this.context.metrics.count(relayMetrics.left, 1, { reason });
      wire.abandon();
    };
    const { withinMs, onData } = handoverRules[reason];
    this.handover = new Handover(this.context, { ...this.hooks, leave, withinMs }, this.lastEventId);
    this.onData = onData;
  }

  /** Its own target has sent something: waits until it is decided whether another one goes on with the stream. */
  private async handoverDecided(handover: Handover): Promise<void> {
    if (this.onData === 'stay') handover.stay();
    await handover.result;
  }

  /**
   * Moves the stream off a target that pauses. Before a target loads new weights it waits for its running requests,
   * up to several seconds for a long one, and takes no other work meanwhile; a moved stream loses only some
   * milliseconds. Others are asked right after an event, as the caller measures the pause from there.
   * @returns a function that stops watching.
   */
  private watchTargetPause(target: Target, wire: WireAnswer): () => void {
    const { knowledge, clock } = this.context;
    let cancelTimer = (): void => undefined;
    const stop = knowledge.targets.onPause((id) => {
      if (id !== target.id || !this.hooks.mayBeSentOn()) return;
      this.isMoveWanted = true;
      cancelTimer = clock.after(MOVE_TIMEOUT_MS, () => {
        if (this.isMoveWanted) this.findSuccessor(wire, 'paused');
      });
    });
    return () => {
      stop();
      cancelTimer();
      this.isMoveWanted = false;
    };
  }

  /**
   * Moves the stream off a target that appears lost. The silence of a single stream is no sufficient sign, as it may
   * be waiting for its turn in a batch.
   * @returns a function that stops watching.
   */
  private watchUnresponsive(target: Target, wire: WireAnswer): () => void {
    const { monitor, clock, stalls } = this.context;
    let cancelTimer: () => void;
    const checkAfter = (ms: number, isSecond = false): void => {
      const dueAt = clock.monotonic() + ms;
      cancelTimer = clock.after(ms, () => {
        const isLate = stalls.current() !== undefined || clock.monotonic() - dueAt > MAX_CHECK_DELAY_MS;
        // After a stall of this process, what targets sent in it is not read yet.
        if (isLate && !isSecond) {
          checkAfter(CATCH_UP_MS, true);
          return;
        }
        if (monitor.isUnresponsive(target.id) && this.hooks.mayBeSentOn())
          this.findSuccessor(wire, 'unresponsive');
        checkAfter(UNRESPONSIVE_MS / 2);
      });
    };
    checkAfter(UNRESPONSIVE_MS);
    return () => {
      cancelTimer();
    };
  }
}
