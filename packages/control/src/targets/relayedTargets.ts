/** Targets that other control instances heard, as they tell of them. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';

/** A target that left or fell silent is forgotten after so long, milliseconds, as the instance that told it does. */
const FORGET_MS = 120_000;

const { Announcement } = controlMessage;

interface Relayed {
  readonly target: controlMessage.AnnouncedTarget;
  readonly place: number;
  readonly at: number;
}

interface Source {
  /** By id. */
  readonly targets: Map<string, Relayed>;
  /** Place at which all that it had told before was replaced. */
  wholePlace: number;
  isHeard: boolean;
}

/**
 * A book for each of the other instances, so that a follower of one instance knows what all of them hear, as if it followed
 * each of them.
 */
export class RelayedTargets {
  private readonly sources = new Map<string, Source>();
  private readonly listeners = new Set<() => void>();
  private lastPlace = 0;

  constructor(private readonly clock: Clock) {}

  /** Place of the newest change. */
  place(): number {
    return this.lastPlace;
  }

  /** What changed after a place, by instance; 0 gives all. */
  since(place: number): controlMessage.RelayedTargets[] {
    return [...this.sources].flatMap(([control, { targets, wholePlace }]) => {
      const changed = [...targets.values()].filter((one) => one.place > place);
      const whole = wholePlace > place;
      if (changed.length === 0 && !whole) return [];
      const told = changed.map(({ target }) => target);
      return [create(controlMessage.RelayedTargetsSchema, { control, whole, targets: told })];
    });
  }

  /** Instances that are heard now, host:port. */
  heard(): string[] {
    return [...this.sources].filter(([, { isHeard }]) => isHeard).map(([control]) => control);
  }

  /** The newest word of a target, whoever told it. */
  find(id: string): controlMessage.AnnouncedTarget | undefined {
    const told = [...this.sources.values()].flatMap(({ targets }) => targets.get(id)?.target ?? []);
    return told.sort((a, b) => Number(b.sequence - a.sequence)).at(0);
  }

  /** Takes what an instance tells; `whole`: all that it knows. */
  apply(control: string, targets: readonly controlMessage.AnnouncedTarget[], whole: boolean): void {
    const source = this.sourceOf(control);
    const isNews = whole || targets.length > 0 || !source.isHeard;
    if (!isNews) return;
    this.lastPlace += 1;
    source.isHeard = true;
    if (whole) {
      source.targets.clear();
      source.wholePlace = this.lastPlace;
    }
    const at = this.clock.monotonic();
    for (const target of targets) source.targets.set(target.id, { target, place: this.lastPlace, at });
    this.forgetGone(source);
    this.raise();
  }

  /** An instance is heard no more. What it told stays until it is back: followers know how old that is. */
  lost(control: string): void {
    const source = this.sources.get(control);
    if (source?.isHeard !== true) return;
    source.isHeard = false;
    this.lastPlace += 1;
    this.raise();
  }

  /** Calls back after each change. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private sourceOf(control: string): Source {
    const known = this.sources.get(control);
    if (known !== undefined) return known;
    const made: Source = { targets: new Map(), wholePlace: 0, isHeard: false };
    this.sources.set(control, made);
    return made;
  }

  private forgetGone({ targets }: Source): void {
    const before = this.clock.monotonic() - FORGET_MS;
    for (const [id, { target, at }] of targets) {
      const speaks =
        target.announcement === Announcement.READY || target.announcement === Announcement.DRAINING;
      if (!speaks && at < before) targets.delete(id);
    }
  }

  private raise(): void {
    for (const listener of this.listeners) listener();
  }
}
