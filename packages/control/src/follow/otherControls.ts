/** What this control instance learns from the others. */
import type { Clock } from '@jasmineroute/core';
import type { Listener } from '@jasmineroute/knowledge';
import { KeptParts } from '@jasmineroute/protocol';
import type { controlMessage } from '@jasmineroute/protocol';
import type { RecentReports } from '../recent/index.js';
import type { RelayedTargets } from '../targets/index.js';

/**
 * What a lost instance told of caches and entries is believed for so long, milliseconds: by then its entries and targets
 * have gone to others.
 */
const LOST_MS = 4_000;

/** Where it goes. */
export interface OtherControlsParts {
  readonly relayed: RelayedTargets;
  /** Loads of targets, by their ids. */
  readonly loads: RecentReports<controlMessage.TargetLoad>;
  /** Work of entries, by their names. */
  readonly work: RecentReports<controlMessage.EntryWork>;
  /** Whether this instance is in contact with a quorum. */
  readonly vouched: () => boolean;
  readonly clock: Clock;
}

/** Hears the other control instances: each tells what it was told itself. */
export class OtherControls implements Listener {
  /** What targets have in their caches, by the address of the target, or of the instance that tells of several. */
  readonly cached = new KeptParts();
  private readonly entryCounts = new Map<string, number>();
  private readonly forgetting = new Map<string, () => void>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly parts: OtherControlsParts) {}

  /** Other instances need not send the configuration: the log brings it. */
  number(): number {
    return 0;
  }

  confirmed(): boolean {
    return this.parts.vouched();
  }

  /** Entries that have other instances tell them loads, work and caches. */
  entries(): number {
    return [...this.entryCounts.values()].reduce((sum, count) => sum + count, 0);
  }

  apply(control: string, event: controlMessage.FollowEvent, whole: boolean): void {
    const { relayed, loads, work } = this.parts;
    this.forgetting.get(control)?.();
    this.forgetting.delete(control);
    this.entryCounts.set(control, event.entries);
    relayed.apply(control, event.targets, whole);
    for (const load of event.loads) loads.take(load.targetId, load, false);
    for (const told of event.work) work.take(told.entry, told, false);
    if (event.cached === undefined) return;
    this.cached.apply(control, event.cached);
    for (const listener of this.listeners) listener();
  }

  lost(control: string): void {
    const { relayed, clock } = this.parts;
    relayed.lost(control);
    this.forgetting.get(control)?.();
    const calledOff = clock.after(LOST_MS, () => {
      this.forgetting.delete(control);
      this.entryCounts.delete(control);
      this.cached.forget(control);
    });
    this.forgetting.set(control, calledOff);
  }

  /** Calls back after news of caches. Returns the way to stop. */
  onCached(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
