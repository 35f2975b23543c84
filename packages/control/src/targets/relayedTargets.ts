/** Targets that other control instances heard, as they tell of them. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';

/** A target that left or fell silent is forgotten after so long, milliseconds, as the instance that told it does. */
const REMOVAL_DELAY_MS = 120_000;

const { Announcement } = controlMessage;

interface RelayedRecord {
  readonly target: controlMessage.AnnouncedTarget;
  readonly changeNumber: number;
  readonly receivedAt: number;
}

interface ControlSource {
  /** By id. */
  readonly targets: Map<string, RelayedRecord>;
  /** Place at which all that it had told before was replaced. */
  snapshotChangeNumber: number;
  isConnected: boolean;
}

/**
 * A book for each of the other instances, so that a follower of one instance knows what all of them hear, as if it followed
 * each of them.
 */
export class RelayedTargets {
  private readonly sources = new Map<string, ControlSource>();
  private readonly listeners = new Set<() => void>();
  private changeNumber = 0;

  constructor(private readonly clock: Clock) {}

  /** Place of the newest change. */
  lastChangeNumber(): number {
    return this.changeNumber;
  }

  /** What changed after a place, by instance; 0 gives all. */
  since(place: number): controlMessage.RelayedTargets[] {
    return [...this.sources].flatMap(([control, { targets, snapshotChangeNumber: wholePlace }]) => {
      const changed = [...targets.values()].filter((one) => one.changeNumber > place);
      const whole = wholePlace > place;
      if (changed.length === 0 && !whole) return [];
      const told = changed.map(({ target }) => target);
      return [create(controlMessage.RelayedTargetsSchema, { control, whole, targets: told })];
    });
  }

  /** Instances that are heard now, host:port. */
  connectedControls(): string[] {
    return [...this.sources].filter(([, { isConnected: isHeard }]) => isHeard).map(([control]) => control);
  }

  /** The newest word of a target, whoever told it. */
  find(id: string): controlMessage.AnnouncedTarget | undefined {
    const told = [...this.sources.values()].flatMap(({ targets }) => targets.get(id)?.target ?? []);
    return told.sort((a, b) => Number(b.sequence - a.sequence)).at(0);
  }

  /** Takes what an instance tells; `whole`: all that it knows. */
  apply(control: string, targets: readonly controlMessage.AnnouncedTarget[], whole: boolean): void {
    const source = this.sourceOf(control);
    const isNews = whole || targets.length > 0 || !source.isConnected;
    if (!isNews) return;
    this.changeNumber += 1;
    source.isConnected = true;
    if (whole) {
      source.targets.clear();
      source.snapshotChangeNumber = this.changeNumber;
    }
    const at = this.clock.monotonic();
    for (const target of targets)
      source.targets.set(target.id, { target, changeNumber: this.changeNumber, receivedAt: at });
    this.removeExpired(source);
    this.notify();
  }

  /** An instance is heard no more. What it told stays until it is back: followers know how old that is. */
  lost(control: string): void {
    const source = this.sources.get(control);
    if (source?.isConnected !== true) return;
    source.isConnected = false;
    this.changeNumber += 1;
    this.notify();
  }

  /** Calls back after each change. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private sourceOf(control: string): ControlSource {
    const known = this.sources.get(control);
    if (known !== undefined) return known;
    const made: ControlSource = { targets: new Map(), snapshotChangeNumber: 0, isConnected: false };
    this.sources.set(control, made);
    return made;
  }

  private removeExpired({ targets }: ControlSource): void {
    const before = this.clock.monotonic() - REMOVAL_DELAY_MS;
    for (const [id, { target, receivedAt: at }] of targets) {
      const speaks =
        target.announcement === Announcement.READY || target.announcement === Announcement.DRAINING;
      if (!speaks && at < before) targets.delete(id);
    }
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
