/** Follows one control instance, over one stream after the other. */
import { createClient } from '@connectrpc/connect';
import { afterActive } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

/**
 * Silence after which a stream is given up, milliseconds: two heartbeats of the sender and a pause. A connection can
 * go silent for good while new ones work; neither end gets an error, so only the missing heartbeats show it.
 */
const SILENCE_MS = 2_000;

/**
 * Time after which another instance is tried beside one that has told nothing yet, milliseconds: what it holds comes at once.
 * An opening packet to a host that has no power yet is lost, and sent again after a second only.
 */
const EXPECTED_MS = 700;

/** Silence after which a stream that has told nothing yet is given up, milliseconds: a process that is slow reads late itself. */
const FIRST_EVENT_MS = 1_400;

/**
 * The same at most, milliseconds, and for a stream that the instance has queued. Each stream that is given up makes the next one
 * wait twice as long: an instance that is busy tells the later the more streams are opened.
 */
const LAST_FIRST_EVENT_MS = 5_600;

/**
 * Time for which an instance may be out of contact with a quorum before another one is looked for, milliseconds: without a
 * leader all instances are, and streams to more of them would only keep them busy.
 */
export const OUT_OF_CONTACT_MS = 1_000;

/** Pause before the first and the last repeated attempt, milliseconds. */
const FIRST_PAUSE_MS = 50;
const LAST_PAUSE_MS = 1_000;

/** The last pause while nothing is confirmed, milliseconds: a process that has just started serves nobody until then. */
const EARLY_PAUSE_MS = 100;

/** The last pause while enough others are followed, milliseconds. */
const SPARE_PAUSE_MS = 4_000;

/** What learns from the streams. */
export interface Listener {
  /** Number of the configuration that is held already; 0: none. */
  number(): number;
  /** Whether a quorum has confirmed what is held. */
  confirmed(): boolean;
  /** Entries that serve now. */
  entries(): number;
  /** Takes an event of a control instance; `whole`: the first of its stream. */
  apply(control: string, event: controlMessage.FollowEvent, whole: boolean): void;
  /** The stream of a control instance ended. */
  lost(control: string): void;
}

/** What a task works with. */
export interface FollowTaskParts {
  readonly name: string;
  readonly role: 'entry' | 'agent' | 'control';
  readonly listener: Listener;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** What a task tells its owner. */
export interface FollowTaskOwner {
  /** Whether enough other control instances are followed, so that this one may be looked for seldom. */
  hasEnough(): boolean;
  /** The control instances that an event names. */
  heard(address: string, controls: readonly string[]): void;
  /** The instance came into contact with a quorum, or out of it, or is no longer expected to come into contact. */
  changed(): void;
}

/** Runs from `run` to `stop`. */
export class FollowTask {
  /** It is heard, and in contact with a quorum. */
  isUp = false;
  /** It is up, was so a moment ago, or is expected to be so soon. */
  isExpected = false;
  private callOffExpectation = (): void => undefined;
  private readonly stopped = new AbortController();
  private stream = new AbortController();
  /** The stream that is open has told something. */
  isHeard = false;
  private isOpen = false;
  /** The stream that is open was taken up. */
  private isTaken = false;
  /** How long the first event of the next stream is waited for, milliseconds. */
  private firstEventMs = FIRST_EVENT_MS;
  private isReopening = false;
  private isStopped = false;

  /** @param bulk whether it is asked for loads, work and caches. */
  constructor(
    private readonly address: string,
    private readonly parts: FollowTaskParts,
    private readonly owner: FollowTaskOwner,
    private bulk: boolean,
  ) {}

  /** A stream is being opened that has told nothing yet. */
  get isOpening(): boolean {
    return this.isOpen && !this.isHeard;
  }

  /** Asks for loads, work and caches from now on, or no more: the stream is opened anew. */
  ask(bulk: boolean): void {
    if (bulk === this.bulk) return;
    this.bulk = bulk;
    if (this.isHeard) this.reopen();
  }

  async run(): Promise<void> {
    const { clock, listener } = this.parts;
    const { signal } = this.stopped;
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      this.isOpen = true;
      this.expect(EXPECTED_MS);
      const events = await this.follow();
      this.isOpen = false;
      this.isTaken = false;
      this.isHeard = false;
      if (this.isStopped) return;
      if (events > 0) {
        listener.lost(this.address);
        pauseMs = FIRST_PAUSE_MS;
      }
      if (this.isReopening) {
        this.isReopening = false;
        continue;
      }
      this.expectNoMore();
      await clock.sleep(pauseMs * (0.5 + Math.random() / 2), signal).catch(() => undefined);
      pauseMs = Math.min(this.lastPauseMs(), pauseMs * 2);
    }
  }

  /**
   * What it told counts as lost at once: another task may follow the same instance before this one's stream has ended. A
   * stream that is being opened is ended by the first word of the other end: one that is cancelled before that has taken it up
   * stays open there for good.
   */
  stop(): void {
    this.isUp = false;
    this.isExpected = false;
    this.callOffExpectation();
    this.isStopped = true;
    this.parts.listener.lost(this.address);
    if (!this.isOpen || this.isTaken) this.stopped.abort();
  }

  private reopen(): void {
    this.isReopening = true;
    this.stream.abort();
  }

  private lastPauseMs(): number {
    if (!this.parts.listener.confirmed()) return EARLY_PAUSE_MS;
    return this.owner.hasEnough() ? SPARE_PAUSE_MS : LAST_PAUSE_MS;
  }

  /** Notes what an event says of the instance's contact with a quorum. */
  private note(isUp: boolean, isFirst: boolean): void {
    if (isUp === this.isUp && !isFirst) return;
    this.isUp = isUp;
    if (isUp) this.callOffExpectation();
    else this.expect(OUT_OF_CONTACT_MS);
    this.isExpected = true;
    this.owner.changed();
  }

  /** It is expected to come up within so many milliseconds. */
  private expect(ms: number): void {
    this.callOffExpectation();
    this.isExpected = true;
    this.callOffExpectation = this.parts.clock.after(ms, () => {
      this.expectNoMore();
    });
  }

  private expectNoMore(): void {
    this.callOffExpectation();
    this.isExpected = false;
    this.isUp = false;
    this.owner.changed();
  }

  /** One stream until its end. Returns how many events came. */
  private async follow(): Promise<number> {
    const { address, bulk } = this;
    const { name, role, listener, peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(address));
    this.stream = new AbortController();
    const { stream } = this;
    const silent = (): void => {
      // Another task may follow the same instance by now, over the same connection.
      if (!this.isStopped) peers.drop(address);
      stream.abort();
    };
    let calledOff = clock.after(this.firstEventMs, () => {
      this.firstEventMs = Math.min(LAST_FIRST_EVENT_MS, this.firstEventMs * 2);
      silent();
    });
    const request = { number: BigInt(listener.number()), name, role, bulk };
    let events = 0;
    let problem = 'the sender ended it';
    try {
      const signal = AbortSignal.any([this.stopped.signal, stream.signal]);
      for await (const event of client.follow(request, { signal })) {
        calledOff();
        this.isTaken = true;
        if (this.isStopped) {
          this.stopped.abort();
          break;
        }
        if (event.queued) {
          calledOff = clock.after(LAST_FIRST_EVENT_MS, silent);
          this.expect(OUT_OF_CONTACT_MS);
          continue;
        }
        // What came while this process stood still is read after its timers have fired.
        calledOff = afterActive(clock, SILENCE_MS, silent);
        this.isHeard = true;
        this.firstEventMs = FIRST_EVENT_MS;
        if (events === 0)
          log.event(knowledgeEvents.controlFollowed, {
            control: address,
            number: Number(event.number),
            bulk,
          });
        listener.apply(address, event, events === 0);
        events += 1;
        this.owner.heard(address, event.controls);
        this.note(event.vouched, events === 1);
        if (this.bulk !== bulk) this.reopen();
      }
    } catch (error) {
      problem = String(error);
    } finally {
      calledOff();
    }
    // While an instance is down each attempt fails; only the loss of one that spoke is news.
    const isLoss = events > 0 && !this.isReopening && !this.isStopped;
    if (isLoss) log.event(knowledgeEvents.controlLost, { control: address, events, problem });
    return events;
  }
}
