/** Receives the reports that other control instances relay. */
import type { Clock } from '@jasmineroute/core';
import type { Listener } from '@jasmineroute/knowledge';
import { CachedParts } from '@jasmineroute/protocol';
import type { controlMessage } from '@jasmineroute/protocol';
import type { EvidenceStore } from '../quarantine/index.js';
import type { RecentReports } from '../recent/index.js';
import type { RelayedTargets } from '../targets/index.js';

/**
 * Time for which reports on caches and entries from a lost instance are kept, milliseconds: by then its entries and
 * targets have moved to other instances.
 */
const LOST_RETENTION_MS = 4_000;

/** Where the reports are stored. */
export interface OtherControlsParts {
  readonly relayed: RelayedTargets;
  /** Loads of targets, by their ids. */
  readonly loads: RecentReports<controlMessage.TargetLoad>;
  /** Work of entries, by their names. */
  readonly work: RecentReports<controlMessage.EntryWork>;
  /** Evidence on requests that crash targets. */
  readonly evidence: EvidenceStore;
  /** Whether this instance is in contact with a quorum. */
  readonly vouched: () => boolean;
  readonly clock: Clock;
}

/** Follows the other control instances; each sends the reports that it received directly. */
export class OtherControls implements Listener {
  /** Cached blocks of targets, by the address of the instance that relays them or, for direct reports, of the target. */
  readonly cached = new CachedParts();
  private readonly entryCounts = new Map<string, number>();
  private readonly pendingRemovals = new Map<string, () => void>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly parts: OtherControlsParts) {}

  /** Configuration number; 0, as the log replicates the configuration. */
  number(): number {
    return 0;
  }

  confirmed(): boolean {
    return this.parts.vouched();
  }

  /** Entries that receive loads, work and caches from other instances. */
  entries(): number {
    return [...this.entryCounts.values()].reduce((sum, count) => sum + count, 0);
  }

  apply(control: string, event: controlMessage.FollowEvent, whole: boolean): void {
    const { relayed, loads, work, evidence } = this.parts;
    this.pendingRemovals.get(control)?.();
    this.pendingRemovals.delete(control);
    this.entryCounts.set(control, event.entries);
    relayed.apply(control, event.targets, whole);
    for (const load of event.loads) loads.take(load.targetId, load, false);
    for (const report of event.work) work.take(report.entry, report, false);
    evidence.record(event.evidence);
    if (event.cached === undefined) return;
    this.cached.applyChanges(control, event.cached);
    for (const listener of this.listeners) listener();
  }

  lost(control: string): void {
    const { relayed, clock } = this.parts;
    relayed.lost(control);
    this.pendingRemovals.get(control)?.();
    const cancel = clock.after(LOST_RETENTION_MS, () => {
      this.pendingRemovals.delete(control);
      this.entryCounts.delete(control);
      this.cached.removeAll(control);
    });
    this.pendingRemovals.set(control, cancel);
  }

  /** Calls back after changes of caches. @returns a function that unsubscribes. */
  onCached(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
