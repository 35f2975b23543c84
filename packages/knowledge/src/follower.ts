/** Follows every control instance that is known, one task each. */
import { createClient } from '@connectrpc/connect';
import type { Clock, Log } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';
import type { Knowledge } from './knowledge.js';

/**
 * Silence after which a stream is given up, milliseconds: two heartbeats of the sender and a pause. A connection can
 * go silent for good while new ones work; neither end gets an error, so only the missing heartbeats show it.
 */
const SILENCE_MS = 2_000;

/**
 * Silence after which a stream that has told nothing yet is given up, milliseconds: what it holds comes at once. An opening
 * packet to a host that has no power yet is lost, and sent again after a second only.
 */
const FIRST_EVENT_MS = 700;

/** Pause before the first and the last repeated attempt, milliseconds. */
const FIRST_PAUSE_MS = 50;
const LAST_PAUSE_MS = 1_000;

/**
 * The last pause while nothing is confirmed, milliseconds. A process that has just started serves nobody until then: when
 * all are started again at once, half of the entries were ready 0.4 s after the others, as control was up a moment later.
 */
const EARLY_PAUSE_MS = 100;

/** What a follower works with. */
export interface FollowerParts {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  /** Control instances that are known from the start, host:port. */
  readonly controls: readonly string[];
  readonly knowledge: Knowledge;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
}

/** One stream's addresses of control instances, kept to know which instances there still are. */
type Told = ReadonlyMap<string, readonly string[]>;

/**
 * Reads from all control instances at once: each hears other targets, and the first to know of a configuration
 * is the first to tell.
 */
export class Follower {
  private readonly stopped = new AbortController();
  private readonly tasks = new Map<string, AbortController>();
  private told: Told = new Map();
  private seeds: readonly string[];

  constructor(private readonly parts: FollowerParts) {
    this.seeds = parts.controls;
  }

  /** Begins to follow. */
  start(): void {
    this.adjust();
  }

  /** Replaces the addresses known from the settings. */
  reseed(controls: readonly string[]): void {
    this.seeds = controls;
    this.adjust();
  }

  stop(): void {
    this.stopped.abort();
    for (const task of this.tasks.values()) task.abort();
  }

  /** Addresses of the control instances that are followed. */
  controls(): string[] {
    return [...this.tasks.keys()];
  }

  /** Starts and ends tasks as control instances come and go. */
  private adjust(): void {
    if (this.stopped.signal.aborted) return;
    const wanted = new Set([...this.seeds, ...[...this.told.values()].flat()]);
    for (const [address, task] of this.tasks) {
      if (wanted.has(address)) continue;
      task.abort();
      this.tasks.delete(address);
    }
    for (const address of wanted) {
      if (this.tasks.has(address)) continue;
      const task = new AbortController();
      this.tasks.set(address, task);
      void this.follow(address, task.signal);
    }
  }

  private async follow(address: string, signal: AbortSignal): Promise<void> {
    const { clock, knowledge } = this.parts;
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      const events = await this.stream(address, signal);
      if (events > 0) {
        knowledge.lost(address);
        pauseMs = FIRST_PAUSE_MS;
      }
      await clock.sleep(pauseMs * (0.5 + Math.random() / 2), signal).catch(() => undefined);
      pauseMs = Math.min(knowledge.confirmed() ? LAST_PAUSE_MS : EARLY_PAUSE_MS, pauseMs * 2);
    }
    this.forget(address);
  }

  /** One stream until its end. Returns how many events came. */
  private async stream(address: string, signal: AbortSignal): Promise<number> {
    const { name, role, knowledge, peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(address));
    const end = new AbortController();
    const silent = (): void => {
      peers.drop(address);
      end.abort();
    };
    let calledOff = clock.after(FIRST_EVENT_MS, silent);
    const number = BigInt(knowledge.table()?.number ?? 0);
    let events = 0;
    let problem = 'the sender ended it';
    try {
      const stream = client.follow({ number, name, role }, { signal: AbortSignal.any([signal, end.signal]) });
      for await (const event of stream) {
        calledOff();
        calledOff = clock.after(SILENCE_MS, silent);
        if (events === 0)
          log.event(knowledgeEvents.controlFollowed, { control: address, number: Number(event.number) });
        knowledge.apply(address, event, events === 0);
        events += 1;
        this.hear(address, event.controls);
      }
    } catch (error) {
      problem = String(error);
    } finally {
      calledOff();
    }
    // While an instance is down each attempt fails; only the loss of one that spoke is news.
    if (events > 0) log.event(knowledgeEvents.controlLost, { control: address, events, problem });
    return events;
  }

  private hear(address: string, controls: readonly string[]): void {
    const before = this.told.get(address) ?? [];
    if (before.length === controls.length && controls.every((one) => before.includes(one))) return;
    this.told = new Map(this.told).set(address, controls);
    this.adjust();
  }

  private forget(address: string): void {
    const told = new Map(this.told);
    told.delete(address);
    this.told = told;
    this.parts.knowledge.lost(address);
  }
}
