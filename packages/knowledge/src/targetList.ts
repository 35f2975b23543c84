/** Announced targets, merged from the reports of all control instances. */
import type { Clock, Log } from '@jasmineroute/core';
import { NewestStarts, controlMessage, startId, startOf } from '@jasmineroute/protocol';
import type { TargetStart } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

const { Announcement } = controlMessage;

/** Time for which the reports of a lost control instance stay valid: longer than a target takes to call another one. */
const LOST_CONTROL_GRACE_MS = 4_000;

/** Time for which targets that have left or are silent are kept, milliseconds. */
const RETENTION_MS = 120_000;

/** A start of a target, as announced. */
export interface Target extends TargetStart {
  /** Id of this start of the target. All state about a target is kept under it. */
  readonly id: string;
  readonly service: string;
  /** host:port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of the target's software; empty: not known. */
  readonly softwareVersion: string;
  /** Requests that may run at once. */
  readonly capacity: number;
  /** Version of the weights of each model, as announced. */
  readonly weights: ReadonlyMap<string, number>;
  /** Accepts no new work while its weights are being replaced. */
  readonly paused: boolean;
}

/** What is known of a start of a target. */
export type TargetLife = 'announced' | 'silent' | 'leaving' | 'replaced';

/** State of a start of a target, for the choice of targets and the log. */
export type TargetState =
  'ready' | 'paused' | 'draining' | 'left' | 'silent' | 'replaced' | 'unspecified' | 'unknown';

/** Receives the id and the new state of a target that stopped accepting work. */
export type UnreadyListener = (id: string, state: TargetState) => void;

interface KnownTarget {
  target: Target;
  sequence: bigint;
  /** Number of the observation that weights and `paused` come from. */
  observation: bigint;
  /** What the target announced itself: draining and left are final. */
  announcement: controlMessage.Announcement;
  /** By the address of a control instance, whether that receives the target's heartbeats. */
  readonly heartbeatsAt: Map<string, boolean>;
  changedAt: number;
  /** Monotonic time at which the target was first reported. */
  readonly since: number;
  /** Another target has taken its address: a late announcement must not bring this one back. */
  isReplaced: boolean;
}

const finality: Partial<Record<controlMessage.Announcement, number>> = {
  [Announcement.DRAINING]: 1,
  [Announcement.LEFT]: 2,
};
const finalityOf = (announcement: controlMessage.Announcement): number => finality[announcement] ?? 0;

/**
 * Targets by the id of their start. Addresses are reused, so nothing is kept by address. A target is alive as long as any
 * control instance receives its heartbeats: they go to one instance at a time, and the others report the target as silent.
 */
export class TargetList {
  private readonly targets = new Map<string, KnownTarget>();
  private readonly newestStarts = new NewestStarts();
  private readonly lostAt = new Map<string, number>();
  private readonly pauseListeners = new Set<(id: string) => void>();
  private readonly unreadyListeners = new Set<UnreadyListener>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Targets of a service that accept new work. */
  ready(service: string): Target[] {
    this.expire();
    return [...this.targets.values()]
      .filter((known) => known.target.service === service && isReady(known))
      .map(({ target }) => target);
  }

  /** Whether a target accepts new work. */
  isReady(id: string): boolean {
    const known = this.targets.get(id);
    return known !== undefined && isReady(known);
  }

  /** The newest target at an address that has not left; undefined when none announced itself there. */
  at(address: string): Target | undefined {
    const there = [...this.targets.values()].filter(
      (known) =>
        known.target.address === address && !known.isReplaced && known.announcement !== Announcement.LEFT,
    );
    return there.sort((a, b) => b.since - a.since)[0]?.target;
  }

  /** What is known of a start of a target: whether it is announced, silent, leaving, or another start took its place. */
  lifeOf({ id, address }: Target): TargetLife {
    const known = this.targets.get(id);
    if (known === undefined) return 'silent';
    const successor = this.at(address);
    if (known.isReplaced || (successor !== undefined && successor.id !== id)) return 'replaced';
    if (finalityOf(known.announcement) > 0) return 'leaving';
    return [...known.heartbeatsAt.values()].some((isHeard) => isHeard) ? 'announced' : 'silent';
  }

  /** State of a start of a target; 'unknown' if it was never announced or was removed. */
  stateOf(id: string): TargetState {
    const known = this.targets.get(id);
    return known === undefined ? 'unknown' : stateOf(known);
  }

  /** Software version of a start of a target, of one that has ended too; empty: not known. */
  softwareVersionOf(id: string): string {
    return this.targets.get(id)?.target.softwareVersion ?? '';
  }

  /** Whether a target of a software version accepts work or is paused. */
  hasVersion(service: string, softwareVersion: string): boolean {
    return [...this.targets.values()].some(
      (known) =>
        known.target.service === service &&
        known.target.softwareVersion === softwareVersion &&
        isServing(known),
    );
  }

  /** Number of targets of a service that accept work or are paused. */
  count(service: string): number {
    return [...this.targets.values()].filter((known) => known.target.service === service && isServing(known))
      .length;
  }

  /** Targets with weights that accept work or are paused. */
  weighted(): Target[] {
    this.expire();
    return [...this.targets.values()]
      .filter((known) => known.target.weights.size > 0 && isServing(known))
      .map(({ target }) => target);
  }

  /** Subscribes to the ids of targets that become paused. Returns a function that unsubscribes. */
  onPause(listener: (id: string) => void): () => void {
    this.pauseListeners.add(listener);
    return () => this.pauseListeners.delete(listener);
  }

  /** Subscribes to targets that stop accepting work. Returns a function that unsubscribes. */
  onUnready(listener: UnreadyListener): () => void {
    this.unreadyListeners.add(listener);
    return () => this.unreadyListeners.delete(listener);
  }

  /** Ids of all known targets. */
  ids(): ReadonlySet<string> {
    return new Set(this.targets.keys());
  }

  /** Applies the targets that a control instance reports; `isSnapshot`: all that it knows. */
  apply(control: string, announced: readonly controlMessage.AnnouncedTarget[], isSnapshot: boolean): void {
    this.lostAt.delete(control);
    if (isSnapshot) for (const known of this.targets.values()) known.heartbeatsAt.delete(control);
    for (const one of announced) this.applyOne(control, one);
  }

  /** The stream of a control instance ended. */
  lost(control: string): void {
    this.lostAt.set(control, this.clock.monotonic());
  }

  /** Marks a start of a target as over: its address answered as another target, or the target has restarted. */
  replaced(id: string): void {
    const known = this.targets.get(id);
    if (known === undefined || known.isReplaced) return;
    const before = stateOf(known);
    known.isReplaced = true;
    known.changedAt = this.clock.monotonic();
    this.log.event(knowledgeEvents.targetChanged, { target: id, state: 'replaced' });
    this.notifyUnready(known, before);
  }

  private notifyUnready(known: KnownTarget, before: TargetState): void {
    const state = stateOf(known);
    if (before !== 'ready' || state === 'ready') return;
    for (const listener of this.unreadyListeners) listener(known.target.id, state);
  }

  /** Of two starts of one target the newer one counts, whatever the order and the instance that reports them. */
  private applyOne(control: string, announced: controlMessage.AnnouncedTarget): void {
    const now = this.clock.monotonic();
    const { isOld, ended } = this.newestStarts.observe(startOf(announced));
    if (ended !== undefined) this.replaced(startId(ended));
    if (isOld) {
      this.replaced(announced.id);
      return;
    }
    const known = this.targets.get(announced.id) ?? {
      target: targetOf(announced),
      sequence: 0n,
      observation: 0n,
      announcement: Announcement.UNSPECIFIED,
      heartbeatsAt: new Map<string, boolean>(),
      changedAt: now,
      since: now,
      isReplaced: false,
    };
    this.targets.set(announced.id, known);
    const before = stateOf(known);
    known.heartbeatsAt.set(control, announced.announcement !== Announcement.SILENT);
    this.merge(known, announced);
    const state = stateOf(known);
    if (state === before) return;
    known.changedAt = now;
    const { id, service, address, softwareVersion, paused } = known.target;
    if (paused) for (const listener of this.pauseListeners) listener(id);
    const target = { target: id, service, address, softwareVersion };
    this.log.event(knowledgeEvents.targetChanged, { ...target, state, before, control });
    this.notifyUnready(known, before);
  }

  /** The newest announcement counts. Final ones stay, even against a newer sequence of a process that was suspended. */
  private merge(known: KnownTarget, announced: controlMessage.AnnouncedTarget): void {
    const isHeard = announced.announcement !== Announcement.SILENT;
    if (isHeard && finalityOf(announced.announcement) >= finalityOf(known.announcement)) {
      known.announcement = announced.announcement;
    }
    if (announced.address === '') return;
    const isNewer = announced.sequence >= known.sequence;
    const hasNewestObservation = announced.observation >= known.observation;
    const received = targetOf(announced);
    const weights = newestVersions(known.target.weights, received.weights);
    const paused = hasNewestObservation ? received.paused : known.target.paused;
    // A process of an older release relays announcements without the version.
    const softwareVersion = newestText(isNewer, received.softwareVersion, known.target.softwareVersion);
    known.target = { ...(isNewer ? received : known.target), softwareVersion, weights, paused };
    if (isNewer) known.sequence = announced.sequence;
    if (hasNewestObservation) known.observation = announced.observation;
  }

  private expire(): void {
    const now = this.clock.monotonic();
    for (const [control, at] of this.lostAt) {
      // Without any control instance the known targets stay: outdated data is better than none.
      if (now - at < LOST_CONTROL_GRACE_MS || !this.hasOtherControl(control)) continue;
      for (const known of this.targets.values()) known.heartbeatsAt.delete(control);
      this.lostAt.delete(control);
    }
    for (const [id, known] of this.targets) {
      if (isReady(known) || now - known.changedAt <= RETENTION_MS) continue;
      this.targets.delete(id);
      this.newestStarts.remove(known.target);
    }
  }

  private hasOtherControl(lost: string): boolean {
    return [...this.targets.values()].some((known) =>
      [...known.heartbeatsAt].some(
        ([control, isHeard]) => isHeard && control !== lost && !this.lostAt.has(control),
      ),
    );
  }
}

function isReady(known: KnownTarget): boolean {
  if (known.isReplaced || known.announcement !== Announcement.READY || known.target.paused) return false;
  return [...known.heartbeatsAt.values()].some((isHeard) => isHeard);
}

const isServing = (known: KnownTarget): boolean => isReady(known) || known.target.paused;

const announcedStates: Record<controlMessage.Announcement, TargetState> = {
  [Announcement.UNSPECIFIED]: 'unspecified',
  [Announcement.READY]: 'ready',
  [Announcement.DRAINING]: 'draining',
  [Announcement.LEFT]: 'left',
  [Announcement.SILENT]: 'silent',
};

function stateOf(known: KnownTarget): TargetState {
  if (known.isReplaced) return 'replaced';
  if (known.announcement !== Announcement.READY) return announcedStates[known.announcement];
  if (known.target.paused) return 'paused';
  return isReady(known) ? 'ready' : 'silent';
}

/** The received text if it is newer or the known one is empty; never an empty text in place of a known one. */
function newestText(isNewer: boolean, received: string, known: string): string {
  return (isNewer && received !== '') || known === '' ? received : known;
}

/** The newer version of each model: versions of weights only grow. */
function newestVersions(
  first: ReadonlyMap<string, number>,
  second: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const merged = new Map(first);
  for (const [model, version] of second) merged.set(model, Math.max(version, merged.get(model) ?? 0));
  return merged;
}

function targetOf(announced: controlMessage.AnnouncedTarget): Target {
  const { id, service, address, dataCentre, softwareVersion, capacity, weights, paused } = announced;
  const versions = new Map(weights.map(({ model, version }) => [model, Number(version)]));
  const place = { service, address, dataCentre, softwareVersion };
  return { ...startOf(announced), ...place, id, capacity, weights: versions, paused };
}
