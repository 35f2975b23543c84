/** Targets that other control instances report. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import { controlMessage, startOf } from '@jasmineroute/protocol';
import { REMOVAL_DELAY_MS, isFinal } from './targetRegistry.js';
import type { KnownStart } from './targetRegistry.js';

const { Announcement } = controlMessage;

interface RelayedRecord {
  readonly target: controlMessage.AnnouncedTarget;
  readonly changeNumber: number;
  readonly receivedAt: number;
  /** Monotonic time since which the other instance knows the start. */
  readonly knownSince: number;
}

interface ControlSource {
  /** By id. */
  readonly targets: Map<string, RelayedRecord>;
  /** Number of the change by which a full report last replaced its targets. */
  snapshotChangeNumber: number;
  isConnected: boolean;
}

/**
 * The targets of each other instance, so that a follower of one instance knows the targets of all, as if it followed each of
 * them.
 */
export class RelayedTargets {
  private readonly sources = new Map<string, ControlSource>();
  private readonly listeners = new Set<() => void>();
  private changeNumber = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of the newest change. */
  lastChangeNumber(): number {
    return this.changeNumber;
  }

  /** Changes after a change number, by instance; 0 gives all targets. */
  since(changeNumber: number): controlMessage.RelayedTargets[] {
    return [...this.sources].flatMap(([control, { targets, snapshotChangeNumber }]) => {
      const changed = [...targets.values()].filter((one) => one.changeNumber > changeNumber);
      const whole = snapshotChangeNumber > changeNumber;
      if (changed.length === 0 && !whole) return [];
      const changedTargets = changed.map(({ target }) => target);
      return [create(controlMessage.RelayedTargetsSchema, { control, whole, targets: changedTargets })];
    });
  }

  /** Instances whose streams are open, host:port. */
  connectedControls(): string[] {
    return [...this.sources].filter(([, { isConnected }]) => isConnected).map(([control]) => control);
  }

  /** The newest report on a target from any instance; that it drains or has left counts from any of them. */
  find(id: string): controlMessage.AnnouncedTarget | undefined {
    const reports = [...this.sources.values()].flatMap(({ targets }) => targets.get(id)?.target ?? []);
    const newest = reports.sort((a, b) => Number(b.sequence - a.sequence)).at(0);
    const final = reports.find(({ announcement }) => isFinal(announcement));
    return newest === undefined ? undefined : { ...newest, announcement: (final ?? newest).announcement };
  }

  /** The starts of a target that other instances know. */
  startsOf(name: string): KnownStart[] {
    const now = this.clock.monotonic();
    return [...this.sources.values()]
      .flatMap(({ targets }) => [...targets.values()])
      .map(({ target, knownSince }) => ({ start: startOf(target), knownMs: now - knownSince }))
      .filter(({ start }) => start.name === name);
  }

  /** Applies a report of an instance; `whole`: it lists all of its targets. */
  apply(control: string, targets: readonly controlMessage.AnnouncedTarget[], whole: boolean): void {
    const source = this.sourceOf(control);
    const isChange = whole || targets.length > 0 || !source.isConnected;
    if (!isChange) return;
    this.changeNumber += 1;
    source.isConnected = true;
    if (whole) {
      source.targets.clear();
      source.snapshotChangeNumber = this.changeNumber;
    }
    const { changeNumber } = this;
    const receivedAt = this.clock.monotonic();
    for (const target of targets) {
      const knownSince = receivedAt - target.knownMs;
      source.targets.set(target.id, { target, changeNumber, receivedAt, knownSince });
    }
    this.removeExpired(source);
    this.notify();
  }

  /** Marks an instance as disconnected. Its targets stay until it is back: followers know how old they are. */
  lost(control: string): void {
    const source = this.sources.get(control);
    if (source?.isConnected !== true) return;
    source.isConnected = false;
    this.changeNumber += 1;
    this.notify();
  }

  /** Calls back after each change. @returns a function that unsubscribes. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private sourceOf(control: string): ControlSource {
    const known = this.sources.get(control);
    if (known !== undefined) return known;
    const created: ControlSource = { targets: new Map(), snapshotChangeNumber: 0, isConnected: false };
    this.sources.set(control, created);
    return created;
  }

  private removeExpired({ targets }: ControlSource): void {
    const before = this.clock.monotonic() - REMOVAL_DELAY_MS;
    for (const [id, { target, receivedAt }] of targets)
      if (target.announcement !== Announcement.READY && receivedAt < before) targets.delete(id);
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
