/** Follows some of the control instances that are known, one task each. */
import { runLasting } from '@jasmineroute/core';
import { controlOrder } from './controlOrder.js';
import { FollowTask, OUT_OF_CONTACT_MS } from './followTask.js';
import type { FollowTaskOwner, FollowTaskParts } from './followTask.js';

/**
 * Control instances that a process follows: two may be lost at once. Each tells what all others hear, so that the streams
 * of one of them grow with the processes alone.
 */
const MOST_FOLLOWED = 3;

/** How often the choice of the followed is looked at again, milliseconds: entries come and go. */
const LOOK_MS = 1_000;

/**
 * Time after which the one that is asked first may be another that is well, milliseconds: it is told all again. When all
 * instances start at once the order changes with each that comes up.
 */
const MOVE_MS = 5_000;

/**
 * Part by which the number of entries must differ from the one that the order was made with. An entry that goes from one
 * control instance to another counts at both for a moment, and would move others by that.
 */
const NOTICED_CHANGE = 0.25;

/** What a follower works with. */
export interface FollowerParts extends FollowTaskParts {
  /** Control instances that are known from the start, host:port. */
  readonly controls: readonly string[];
  /** How many it follows; absent: as many as may be lost at once, and one more. */
  readonly most?: number;
  /** Its own address, where it is a control instance itself. */
  readonly own?: string;
  /** Whether it asks all of them for loads, work and caches, to pass them on; an entry asks one. */
  readonly wantsBulk?: () => boolean;
}

/**
 * Follows a few control instances. One of them tells an entry loads, work and caches too. It begins with the first ones of
 * the order, and with one more for each that is lost, stays out of contact with a quorum or is late to tell: a stream to each
 * of all instances would keep them from electing a leader after a restart of all.
 */
export class Follower implements FollowTaskOwner {
  private readonly stopped = new AbortController();
  private readonly tasks = new Map<string, FollowTask>();
  /** Addresses that each stream told, to know which instances there are. */
  private told: ReadonlyMap<string, readonly string[]> = new Map();
  private seeds: readonly string[];

  private readonly most: number;
  /** Those that are up, in the order to ask them, as it was at the last change. */
  private order: readonly string[] = [];
  /** The one that is asked first, kept for some time while it may be up, and since when, by the clock. */
  private asked: string | undefined;
  private askedAt = 0;
  /** When one came up while none was, by the clock: the others may be about to, after a leader was elected. */
  private contactAt = 0;
  /** Entries for which the order is made; 0: not known yet. */
  private entries = 0;

  constructor(private readonly parts: FollowerParts) {
    this.seeds = parts.controls;
    this.most = parts.most ?? MOST_FOLLOWED;
  }

  /** Begins to follow. */
  start(): void {
    this.askedAt = this.parts.clock.monotonic();
    this.adjust();
    runLasting('choice of control instances', this.look());
  }

  /** Replaces the addresses known from the settings. */
  reseed(controls: readonly string[]): void {
    this.seeds = controls;
    this.adjust();
  }

  stop(): void {
    this.stopped.abort();
    for (const task of this.tasks.values()) task.stop();
  }

  /** Addresses of control instances, those that are in contact with a quorum first, in the order to ask them. */
  controls(): string[] {
    return [...new Set([...this.order, ...this.tasks.keys()])];
  }

  /** The first one that is in contact with a quorum; undefined: none is. */
  first(): string | undefined {
    return this.order[0];
  }

  hasEnough(): boolean {
    return this.order.length >= this.most;
  }

  heard(address: string, controls: readonly string[]): void {
    if (controls.length === 0) return;
    const before = this.told.get(address) ?? [];
    if (before.length === controls.length && controls.every((one) => before.includes(one))) return;
    this.told = new Map(this.told).set(address, controls);
    this.adjust();
  }

  changed(): void {
    this.adjust();
  }

  private async look(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await clock.sleep(LOOK_MS, signal).catch(() => undefined);
      const mayMove = clock.monotonic() - this.askedAt >= MOVE_MS;
      if (mayMove) this.countEntries();
      this.approach();
      if (mayMove) this.moveToFirst();
      this.adjust();
    }
  }

  /** Makes the order by the number of entries that serve now. */
  private countEntries(): void {
    const entries = this.parts.listener.entries();
    if (Math.abs(entries - this.entries) > this.entries * NOTICED_CHANGE) this.entries = entries;
  }

  /** Lets the first one of the order be asked for everything, once it is up: a move to another one would be followed by a second. */
  private moveToFirst(): void {
    const first = this.ranked(this.toldAddresses()).find((address) => this.isExpected(address));
    if (first !== undefined && this.isUp(first)) this.asked = undefined;
  }

  private isExpected(address: string): boolean {
    return this.tasks.get(address)?.isExpected === true;
  }

  private isUp(address: string): boolean {
    return this.tasks.get(address)?.isUp === true;
  }

  /** All that are known, in the order in which this process would ask all of them. */
  private ranked(controls: Iterable<string> = this.known()): string[] {
    return controlOrder(this.parts, [...controls], this.entries);
  }

  private known(): ReadonlySet<string> {
    const known = new Set([...this.seeds, ...this.toldAddresses()]);
    known.delete(this.parts.own ?? '');
    return known;
  }

  private toldAddresses(): Set<string> {
    return new Set([...this.told.values()].flat());
  }

  /** Starts and ends tasks as control instances come and go. */
  private adjust(): void {
    if (this.stopped.signal.aborted) return;
    this.choose();
    this.endSurplus();
    this.beginMissing();
    for (const [address, task] of this.tasks) task.ask(this.asksForBulk(address));
  }

  /** Chooses the one that is asked first, and the order of the others. */
  private choose(): void {
    const ranked = this.ranked();
    const up = ranked.filter((address) => this.isUp(address));
    const now = this.parts.clock.monotonic();
    if (this.order.length === 0) this.contactAt = now;
    if (!this.isWorthKeeping(this.asked, now) && up.length > 0) {
      [this.asked] = up;
      this.askedAt = now;
    }
    this.asked ??= ranked[0];
    this.order = up.sort((a, b) => Number(b === this.asked) - Number(a === this.asked));
  }

  /** Whether the one that is asked first stays so. */
  private isWorthKeeping(asked: string | undefined, now: number): boolean {
    const task = this.tasks.get(asked ?? '');
    if (task === undefined) return false;
    if (task.isExpected || task.isOpening) return true;
    return task.isHeard && now - this.contactAt < OUT_OF_CONTACT_MS;
  }

  private asksForBulk(address: string): boolean {
    const { role, wantsBulk } = this.parts;
    return (role === 'entry' && address === this.asked) || wantsBulk?.() === true;
  }

  /** Ends what is not wanted any more. */
  private endSurplus(): void {
    const wanted = this.hasEnough() ? this.preferred() : this.known();
    for (const [address, task] of this.tasks) {
      if (wanted.has(address) || address === this.asked) continue;
      task.stop();
      this.tasks.delete(address);
      this.forget(address);
    }
  }

  /**
   * Once enough are up: the first of them in the order, and those that are not up and come before them. A seed that is no
   * instance any more is left alone.
   */
  private preferred(): ReadonlySet<string> {
    const ranked = this.ranked(this.toldAddresses());
    const last = ranked.filter((address) => this.isUp(address))[this.most - 1];
    return last === undefined ? this.known() : new Set(ranked.slice(0, ranked.indexOf(last) + 1));
  }

  /** Begins with as many as are needed beyond those that are expected to come up. */
  private beginMissing(): void {
    const expected = [...this.tasks.values()].filter(({ isExpected }) => isExpected).length;
    const others = this.ranked().filter((address) => !this.tasks.has(address));
    for (const address of others.slice(0, Math.max(0, this.most - expected))) this.begin(address);
  }

  /** Begins with one that comes before another that is followed: one at a time, as each is told all. */
  private approach(): void {
    if (!this.hasEnough()) return;
    const next = [...this.preferred()].find((address) => !this.tasks.has(address));
    if (next !== undefined) this.begin(next);
  }

  private begin(address: string): void {
    const task = new FollowTask(address, this.parts, this, this.asksForBulk(address));
    this.tasks.set(address, task);
    runLasting('stream of a control instance', task.run());
  }

  private forget(address: string): void {
    const told = new Map(this.told);
    told.delete(address);
    this.told = told;
  }
}
