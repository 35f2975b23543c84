/** Keeps one control instance followed: opens a stream, and opens a new one when it ends. */
import { createClient } from '@connectrpc/connect';
import { afterActive } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

/**
 * Silence after which a stream is aborted, milliseconds: two heartbeats of the sender and a margin. A connection can go
 * silent for good while new ones work; neither end gets an error, so only the missing heartbeats show it.
 */
const SILENCE_TIMEOUT_MS = 2_000;

/**
 * Time without a first event after which another instance is tried in parallel, milliseconds: a healthy instance sends its
 * state at once. A SYN to a host that is still without power is lost, and is sent again only after a second.
 */
const HEDGE_DELAY_MS = 700;

/** Time without a first event after which a stream is aborted, milliseconds. A slow process reads its first event late. */
const FIRST_EVENT_TIMEOUT_MS = 1_400;

/**
 * Longest such time, milliseconds, and the time for a stream that the instance has queued. Each aborted stream doubles the
 * time for the next one: the more streams are opened to a busy instance, the later it answers.
 */
const MAX_FIRST_EVENT_TIMEOUT_MS = 5_600;

/**
 * How often the time without an event is extended while other bytes arrive over the connection: the instance is slow, and would answer
 * a new stream even later, with all of its state.
 */
const MAX_EXTENSIONS = 2;

/**
 * Time for which an instance may be out of contact with a quorum before another one is followed, milliseconds: without a
 * leader all instances are, and streams to more of them would only add load.
 */
export const QUORUM_LOSS_GRACE_MS = 1_000;

/** Backoff between attempts, milliseconds. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** Longest backoff until a quorum has confirmed the state, milliseconds: a process that has just started can't serve before. */
const MAX_UNCONFIRMED_BACKOFF_MS = 100;

/** Longest backoff while enough other instances are followed, milliseconds. */
const MAX_SPARE_BACKOFF_MS = 4_000;

/** Receives the events of the streams. */
export interface Listener {
  /** Number of the configuration held; 0: none. */
  number(): number;
  /** Whether a quorum has confirmed the state held. */
  confirmed(): boolean;
  /** Number of entries that serve now. */
  entries(): number;
  /** Applies an event of a control instance; `isFirst`: the first of its stream. */
  apply(control: string, event: controlMessage.FollowEvent, isFirst: boolean): void;
  /** The stream of a control instance ended. */
  lost(control: string): void;
}

/** Dependencies of a task. */
export interface FollowTaskParts {
  readonly name: string;
  readonly role: 'entry' | 'agent' | 'control';
  readonly listener: Listener;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** Owner of a task: is notified of its changes. */
export interface FollowTaskOwner {
  /** Whether enough other control instances are followed, so that this one may be retried less often. */
  hasEnough(): boolean;
  /** An event listed these control instances. */
  controlsListed(address: string, controls: readonly string[]): void;
  /** The instance gained or lost contact with a quorum, or is no longer expected to gain it. */
  contactChanged(): void;
}

/** Follows one control instance from `run` to `stop`. */
export class FollowTask {
  /** Events arrive, and the instance is in contact with a quorum. */
  isInContact = false;
  /** In contact with a quorum, so a moment ago, or expected to be so soon. */
  isExpected = false;
  private cancelExpectation = (): void => undefined;
  private readonly stopped = new AbortController();
  private stream = new AbortController();
  /** The open stream has delivered an event. */
  hasReceived = false;
  private isOpen = false;
  /** The instance has accepted the open stream. */
  private isAccepted = false;
  /** Timeout for the first event of the next stream, milliseconds. */
  private firstEventTimeoutMs = FIRST_EVENT_TIMEOUT_MS;
  private isReopening = false;
  private isStopped = false;

  /** @param bulk whether loads, work and caches are requested. */
  constructor(
    private readonly address: string,
    private readonly parts: FollowTaskParts,
    private readonly owner: FollowTaskOwner,
    private bulk: boolean,
  ) {}

  /** A stream is open, and no event has arrived yet. */
  get isOpening(): boolean {
    return this.isOpen && !this.hasReceived;
  }

  /** Sets whether loads, work and caches are requested; reopens the stream on a change. */
  setBulk(bulk: boolean): void {
    if (bulk === this.bulk) return;
    this.bulk = bulk;
    if (this.hasReceived) this.reopen();
  }

  async run(): Promise<void> {
    const { clock, listener } = this.parts;
    const { signal } = this.stopped;
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
      this.isOpen = true;
      this.expect(HEDGE_DELAY_MS);
      const events = await this.follow();
      this.isOpen = false;
      this.isAccepted = false;
      this.hasReceived = false;
      if (this.isStopped) return;
      if (events > 0) {
        listener.lost(this.address);
        backoffMs = MIN_BACKOFF_MS;
      }
      if (this.isReopening) {
        this.isReopening = false;
        continue;
      }
      this.endExpectation();
      await clock.sleep(backoffMs * (0.5 + Math.random() / 2), signal).catch(() => undefined);
      backoffMs = Math.min(this.maxBackoffMs(), backoffMs * 2);
    }
  }

  /**
   * Reports the stream as lost at once: another task may follow the same instance before this stream has ended. A stream that
   * is being opened is aborted only at its first event: cancelled before the instance accepts it, it would stay open there
   * for good.
   */
  stop(): void {
    this.isInContact = false;
    this.isExpected = false;
    this.cancelExpectation();
    this.isStopped = true;
    this.parts.listener.lost(this.address);
    if (!this.isOpen || this.isAccepted) this.stopped.abort();
  }

  private reopen(): void {
    this.isReopening = true;
    this.stream.abort();
  }

  private maxBackoffMs(): number {
    if (!this.parts.listener.confirmed()) return MAX_UNCONFIRMED_BACKOFF_MS;
    return this.owner.hasEnough() ? MAX_SPARE_BACKOFF_MS : MAX_BACKOFF_MS;
  }

  /** Records from an event whether the instance is in contact with a quorum. */
  private updateContact(isInContact: boolean, isFirst: boolean): void {
    if (isInContact === this.isInContact && !isFirst) return;
    this.isInContact = isInContact;
    if (isInContact) this.cancelExpectation();
    else this.expect(QUORUM_LOSS_GRACE_MS);
    this.isExpected = true;
    this.owner.contactChanged();
  }

  /** Marks the instance as expected to gain contact with a quorum within `ms`. */
  private expect(ms: number): void {
    this.cancelExpectation();
    this.isExpected = true;
    this.cancelExpectation = this.parts.clock.after(ms, () => {
      this.endExpectation();
    });
  }

  private endExpectation(): void {
    this.cancelExpectation();
    this.isExpected = false;
    this.isInContact = false;
    this.owner.contactChanged();
  }

  /** Reads one stream until its end. Returns the number of events. */
  private async follow(): Promise<number> {
    const { address, bulk } = this;
    const { name, role, listener, peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(address));
    this.stream = new AbortController();
    const { stream } = this;
    let cancelTimer = (): void => undefined;
    /** Aborts the stream when no event comes for `ms`, or for `extensions` times that while the connection is alive. */
    const limitSilence = (ms: number, extensions: number, onSilence = (): void => undefined): void => {
      const receivedBefore = peers.received(address);
      // After a suspension of this process its timers fire before the events that have arrived meanwhile are read.
      cancelTimer = afterActive(clock, ms, () => {
        const isAlive = peers.received(address) > receivedBefore;
        if (isAlive && extensions > 0) {
          if (this.hasReceived) this.updateContact(false, false);
          limitSilence(ms, extensions - 1, onSilence);
          return;
        }
        onSilence();
        // After `stop` another task may follow the same instance over the same connection.
        if (!this.isStopped && !isAlive) peers.drop(address);
        stream.abort();
      });
    };
    limitSilence(this.firstEventTimeoutMs, 0, () => {
      this.firstEventTimeoutMs = Math.min(MAX_FIRST_EVENT_TIMEOUT_MS, this.firstEventTimeoutMs * 2);
    });
    const request = { number: BigInt(listener.number()), name, role, bulk };
    let events = 0;
    let problem = 'the control instance closed the stream';
    try {
      const signal = AbortSignal.any([this.stopped.signal, stream.signal]);
      for await (const event of client.follow(request, { signal })) {
        cancelTimer();
        this.isAccepted = true;
        if (this.isStopped) {
          this.stopped.abort();
          break;
        }
        if (event.queued) {
          limitSilence(MAX_FIRST_EVENT_TIMEOUT_MS, 0);
          this.expect(QUORUM_LOSS_GRACE_MS);
          continue;
        }
        limitSilence(SILENCE_TIMEOUT_MS, MAX_EXTENSIONS);
        this.hasReceived = true;
        this.firstEventTimeoutMs = FIRST_EVENT_TIMEOUT_MS;
        if (events === 0)
          log.event(knowledgeEvents.controlFollowed, {
            control: address,
            number: Number(event.number),
            bulk,
          });
        listener.apply(address, event, events === 0);
        events += 1;
        this.owner.controlsListed(address, event.controls);
        this.updateContact(event.vouched, events === 1);
        if (this.bulk !== bulk) this.reopen();
      }
    } catch (error) {
      problem = String(error);
    } finally {
      cancelTimer();
    }
    // While an instance is down each attempt fails; only the loss of a stream that has delivered events is logged.
    const isLoss = events > 0 && !this.isReopening && !this.isStopped;
    if (isLoss) log.event(knowledgeEvents.controlLost, { control: address, events, problem });
    return events;
  }
}
