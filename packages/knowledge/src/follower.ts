/** Follows a subset of the known control instances, with one task for each. */
import { runCriticalTask } from '@jasmineroute/core';
import { controlOrder } from './controlOrder.js';
import { FollowTask, QUORUM_LOSS_GRACE_MS } from './followTask.js';
import type { FollowTaskOwner, FollowTaskParts } from './followTask.js';

/**
 * Control instances that a process follows: two may be lost at once. Each relays what all others receive, so the streams of
 * an instance grow only with the number of processes.
 */
const MAX_FOLLOWED = 3;

/** Interval at which the followed instances are chosen anew, milliseconds: the number of entries changes. */
const REVIEW_INTERVAL_MS = 1_000;

/**
 * Shortest time between two changes of a healthy primary, milliseconds: each change transfers the whole state again. When all
 * instances start at once the order changes with each that comes up.
 */
const MIN_PRIMARY_MS = 5_000;

/**
 * Relative change in the number of entries that changes the order. An entry that moves from one control instance to another
 * is counted at both for a moment, which must not move other entries.
 */
const MIN_ENTRY_CHANGE = 0.25;

/** Dependencies and settings of a follower. */
export interface FollowerParts extends FollowTaskParts {
  /** Seed addresses of control instances, host:port. */
  readonly controls: readonly string[];
  /** Number of instances to follow; absent: one more than may be lost at once. */
  readonly maxFollowed?: number;
  /** Its own address, where it is a control instance itself. */
  readonly own?: string;
  /** Whether loads, work and caches are requested from all instances, to relay them; an entry requests them from its primary. */
  readonly wantsBulk?: () => boolean;
}

/**
 * Follows a few control instances. One of them, the primary, also streams loads, work and caches to an entry. The follower
 * starts with the first ones of the order, and adds one for each that is lost, stays out of contact with a quorum or sends no
 * event in time: streams from all processes to all instances would keep these from electing a leader after a restart of all.
 */
export class Follower implements FollowTaskOwner {
  private readonly stopped = new AbortController();
  private readonly tasks = new Map<string, FollowTask>();
  /** Addresses of control instances that each followed instance has reported, by its address. */
  private reported: ReadonlyMap<string, readonly string[]> = new Map();
  private seeds: readonly string[];

  private readonly maxFollowed: number;
  /** Instances in contact with a quorum, in order of preference, as of the last change. */
  private order: readonly string[] = [];
  /** Address of the primary, kept for some time while it may be in contact, and the monotonic time of its choice. */
  private primary: string | undefined;
  private primarySince = 0;
  /** Monotonic time at which a first instance gained contact: the others may follow soon, after the election of a leader. */
  private contactSince = 0;
  /** Number of entries that the order is computed for; 0: unknown. */
  private entries = 0;

  constructor(private readonly parts: FollowerParts) {
    this.seeds = parts.controls;
    this.maxFollowed = parts.maxFollowed ?? MAX_FOLLOWED;
  }

  /** Starts to follow. */
  start(): void {
    this.primarySince = this.parts.clock.monotonic();
    this.adjust();
    runCriticalTask('choice of control instances', this.review());
  }

  /** Replaces the seed addresses. */
  reseed(controls: readonly string[]): void {
    this.seeds = controls;
    this.adjust();
  }

  stop(): void {
    this.stopped.abort();
    for (const task of this.tasks.values()) task.stop();
  }

  /** Addresses of the followed instances in order of preference, those in contact with a quorum first. */
  controls(): string[] {
    return [...new Set([...this.order, ...this.tasks.keys()])];
  }

  /** Addresses of all control instances that the followed ones report; of the seeds while none has reported any. */
  allControls(): string[] {
    const reported = this.reportedAddresses();
    return [...(reported.size > 0 ? reported : this.known())];
  }

  /** Address of the first instance in contact with a quorum; undefined: none is. */
  first(): string | undefined {
    return this.order[0];
  }

  hasEnough(): boolean {
    return this.order.length >= this.maxFollowed;
  }

  controlsListed(address: string, controls: readonly string[]): void {
    if (controls.length === 0) return;
    const before = this.reported.get(address) ?? [];
    if (before.length === controls.length && controls.every((one) => before.includes(one))) return;
    this.reported = new Map(this.reported).set(address, controls);
    this.adjust();
  }

  contactChanged(): void {
    this.adjust();
  }

  private async review(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await clock.sleep(REVIEW_INTERVAL_MS, signal).catch(() => undefined);
      const mayChange = clock.monotonic() - this.primarySince >= MIN_PRIMARY_MS;
      if (mayChange) this.updateEntryCount();
      this.startPreferred();
      if (mayChange) this.releasePrimary();
      this.adjust();
    }
  }

  /** Computes the order for the number of entries that serve now, where that has changed enough. */
  private updateEntryCount(): void {
    const entries = this.parts.listener.entries();
    if (Math.abs(entries - this.entries) > this.entries * MIN_ENTRY_CHANGE) this.entries = entries;
  }

  /** Gives up the primary once the first instance of the order is in contact: any other choice would soon change again. */
  private releasePrimary(): void {
    const first = this.ranked(this.reportedAddresses()).find((address) => this.isExpected(address));
    if (first !== undefined && this.isInContact(first)) this.primary = undefined;
  }

  private isExpected(address: string): boolean {
    return this.tasks.get(address)?.isExpected === true;
  }

  private isInContact(address: string): boolean {
    return this.tasks.get(address)?.isInContact === true;
  }

  /** Instances in this process's order of preference. */
  private ranked(controls: Iterable<string> = this.known()): string[] {
    return controlOrder(this.parts, [...controls], this.entries);
  }

  private known(): ReadonlySet<string> {
    const known = new Set([...this.seeds, ...this.reportedAddresses()]);
    known.delete(this.parts.own ?? '');
    return known;
  }

  /**
   * Addresses reported by the instances in contact with a quorum; by all followed ones while none is in contact. One that was
   * replaced is still in its own last report.
   */
  private reportedAddresses(): Set<string> {
    const current = [...this.reported].filter(([address]) => this.isInContact(address));
    const reports = current.length > 0 ? current : [...this.reported];
    return new Set(reports.flatMap(([, controls]) => controls));
  }

  /** Starts and stops tasks as control instances come and go. */
  private adjust(): void {
    if (this.stopped.signal.aborted) return;
    this.choosePrimary();
    this.stopSurplus();
    this.startMissing();
    for (const [address, task] of this.tasks) task.setBulk(this.isBulkWanted(address));
  }

  /** Chooses the primary and the order of the others. */
  private choosePrimary(): void {
    const ranked = this.ranked();
    const inContact = ranked.filter((address) => this.isInContact(address));
    const now = this.parts.clock.monotonic();
    if (this.order.length === 0) this.contactSince = now;
    if (!this.keepsPrimary(this.primary, now) && inContact.length > 0) {
      [this.primary] = inContact;
      this.primarySince = now;
    }
    this.primary ??= ranked[0];
    this.order = inContact.sort((a, b) => Number(b === this.primary) - Number(a === this.primary));
  }

  /** Whether the primary stays so. */
  private keepsPrimary(primary: string | undefined, now: number): boolean {
    const task = this.tasks.get(primary ?? '');
    if (task === undefined) return false;
    if (task.isExpected || task.isOpening) return true;
    return task.hasReceived && now - this.contactSince < QUORUM_LOSS_GRACE_MS;
  }

  private isBulkWanted(address: string): boolean {
    const { role, wantsBulk } = this.parts;
    return (role === 'entry' && address === this.primary) || wantsBulk?.() === true;
  }

  /** Stops tasks of instances that need not be followed any more. */
  private stopSurplus(): void {
    const wanted = this.hasEnough() ? this.preferred() : this.known();
    for (const [address, task] of this.tasks) {
      if (wanted.has(address) || address === this.primary) continue;
      task.stop();
      this.tasks.delete(address);
      this.forgetReported(address);
    }
  }

  /**
   * Instances to follow once enough are in contact: the first of these in the order, and those without contact that come
   * before them. Left out is a seed address that no instance has reported.
   */
  private preferred(): ReadonlySet<string> {
    const ranked = this.ranked(this.reportedAddresses());
    const last = ranked.filter((address) => this.isInContact(address))[this.maxFollowed - 1];
    return last === undefined ? this.known() : new Set(ranked.slice(0, ranked.indexOf(last) + 1));
  }

  /** Starts as many tasks as are missing beside those of instances expected to be in contact. */
  private startMissing(): void {
    const expected = [...this.tasks.values()].filter(({ isExpected }) => isExpected).length;
    const others = this.ranked().filter((address) => !this.tasks.has(address));
    for (const address of others.slice(0, Math.max(0, this.maxFollowed - expected))) this.startTask(address);
  }

  /** Starts a task for one preferred instance that is not followed yet: one at a time, as each stream transfers the whole state. */
  private startPreferred(): void {
    if (!this.hasEnough()) return;
    const next = [...this.preferred()].find((address) => !this.tasks.has(address));
    if (next !== undefined) this.startTask(next);
  }

  private startTask(address: string): void {
    const task = new FollowTask(address, this.parts, this, this.isBulkWanted(address));
    this.tasks.set(address, task);
    runCriticalTask('stream of a control instance', task.run());
  }

  private forgetReported(address: string): void {
    const reported = new Map(this.reported);
    reported.delete(address);
    this.reported = reported;
  }
}
