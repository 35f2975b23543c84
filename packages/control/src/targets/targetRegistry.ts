/** Targets that announced themselves to this control instance. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Log } from '@jasmineroute/core';
import { NewestStarts, controlMessage, startFields, startId, startOf } from '@jasmineroute/protocol';
import type { TargetStart, UnreadableEntries } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';

/** Heartbeat intervals after which a target counts as silent: one heartbeat may be lost and one late. */
const MISSED_HEARTBEATS = 3;

/** Time after which a target that left or is silent is removed, milliseconds: longer than a call may be late. */
export const REMOVAL_DELAY_MS = 120_000;

/** Time after which a pause ends unless renewed, milliseconds: the process that requested it is gone. */
const PAUSE_LIFETIME_MS = 6_000;

/** Interval between two checks for expired heartbeats and pauses, milliseconds. */
const EXPIRY_CHECK_MS = 300;

const { Announcement, AnnouncedTargetSchema } = controlMessage;

/** Effect of a leave call: the start is marked as left, was before, or is older than the newest one. */
export type LeaveEffect = 'left' | 'repeated' | 'outdated';

/** The content of a heartbeat of a target. */
export interface Heartbeat extends TargetStart {
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Version of the target's software; absent or empty: not known. */
  readonly softwareVersion?: string;
  readonly capacity: number;
  readonly draining: boolean;
  /** Grows with each heartbeat of the same start of the target. */
  readonly sequence: number;
  readonly coldMs: number;
  readonly weights: readonly { readonly model: string; readonly version: number }[];
  /** Models in its list that could not be read; absent: none. */
  readonly unread?: UnreadableEntries;
}

/** A known start of a target. */
export interface KnownStart {
  readonly start: TargetStart;
  /** Time for which it is known, milliseconds. */
  readonly knownMs: number;
}

/** The newest start of a target. */
export interface HeardStart {
  readonly start: TargetStart;
  /** Time since its last heartbeat, milliseconds; undefined: none came here. */
  readonly heardMs: number | undefined;
}

interface TargetRecord {
  readonly target: controlMessage.AnnouncedTarget;
  readonly lastHeartbeatAt: number;
  readonly firstHeartbeatAt: number;
  /** Time of the last observation; absent: none. */
  readonly observedAt?: number;
  /** Number of the last change that is sent to followers. */
  readonly changeNumber: number;
}

/** A target's state without the fields that change with each heartbeat, for comparison. */
function comparableState(target: controlMessage.AnnouncedTarget): string {
  const { service, address, softwareVersion, announcement, capacity, weights, paused } = target;
  const versions = weights.map(({ model, version }) => `${model}@${version}`);
  return [service, address, softwareVersion, announcement, capacity, paused, ...versions].join(' ');
}

/**
 * Targets that were reported to this instance. Each control instance keeps its own list and followers merge all of them, so a
 * heartbeat may go to any instance, and none waits for a quorum.
 */
export class TargetRegistry {
  private readonly entries = new Map<string, TargetRecord>();
  private readonly newestStarts = new NewestStarts();
  /**
   * Monotonic times after which the last heartbeats of starts arrived, by their ids. Late ones and those that others tell of don't
   * count.
   */
  private readonly heardAt = new Map<string, number>();
  private readonly listeners = new Set<() => void>();
  private readonly removalListeners = new Set<(start: TargetStart) => void>();
  private changeNumber = 0;
  private readonly ended = new AbortController();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly heartbeatMs: number,
    /** Monotonic time of the earliest possible arrival of a heartbeat that is read now. */
    private readonly earliestArrival: () => number = () => clock.monotonic(),
  ) {}

  /** Number of the newest change. */
  lastChangeNumber(): number {
    return this.changeNumber;
  }

  /** Targets that changed after a change number; 0 gives all. */
  since(changeNumber: number): controlMessage.AnnouncedTarget[] {
    const now = this.clock.monotonic();
    return [...this.entries.values()]
      .filter((entry) => entry.changeNumber > changeNumber)
      .map(({ target, firstHeartbeatAt }) => ({ ...target, knownMs: Math.round(now - firstHeartbeatAt) }));
  }

  /** Calls back after each change. @returns a function that unsubscribes. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Applies a heartbeat. One that arrives after a newer heartbeat, the target's leave or a newer start of the target changes
   * nothing.
   */
  beat(heartbeat: Heartbeat): void {
    if (this.isOld(heartbeat)) return;
    const known = this.entries.get(startId(heartbeat));
    const { sequence } = heartbeat;
    // The process beside a target announces it with the sequence 0.
    if (sequence > Number(known?.target.sequence ?? 0)) this.recordHeard(startId(heartbeat));
    if (known === undefined || !this.isStale(known.target, sequence))
      this.put(targetOf(heartbeat, known?.target));
    // One that left is kept for as long as it calls, or a later heartbeat would count as the first one of a start.
    else if (known.target.announcement === Announcement.LEFT) this.put(known.target);
  }

  /** One that is read after a stall may have been sent before it, by a start that has ended since. */
  private recordHeard(id: string): void {
    this.heardAt.set(id, Math.max(this.earliestArrival(), this.heardAt.get(id) ?? -Infinity));
  }

  /**
   * Applies an announcement by the process beside a target. It counts as a heartbeat before all of the target's own, so it
   * never reverts a call of the target.
   */
  announce(announced: controlMessage.AnnouncedTarget): void {
    const { service, address, dataCentre, softwareVersion, capacity, weights } = announced;
    const versions = weights.map(({ model, version }) => ({ model, version: Number(version) }));
    const fields = { service, address, dataCentre, softwareVersion, capacity, weights: versions };
    this.beat({ ...startOf(announced), ...fields, draining: false, sequence: 0, coldMs: 0 });
  }

  /**
   * Adds a target that is known only from another instance, so that observations of it can be stored here. It does not count as
   * heard here, but as draining or left if it is.
   */
  adopt(target: controlMessage.AnnouncedTarget): void {
    if (this.entries.has(target.id) || this.isOld(startOf(target))) return;
    const announcement = isFinal(target.announcement) ? target.announcement : Announcement.SILENT;
    this.put({ ...target, announcement });
  }

  /** Applies an observation by the process beside a target. @returns whether the target is known here. */
  observe({ targetId, observation, paused, weights }: controlMessage.ObserveRequest): boolean {
    const known = this.entries.get(targetId);
    if (known === undefined) return false;
    const { target, lastHeartbeatAt } = known;
    if (observation < target.observation) return true;
    const newest = newerWeights(target.weights, weights);
    this.put({ ...target, paused, observation, weights: newest }, lastHeartbeatAt, this.clock.monotonic());
    return true;
  }

  /** Marks a start as left, also one that is not known here yet. */
  leave(start: TargetStart): LeaveEffect {
    if (this.isOld(start)) return 'outdated';
    const known = this.entries.get(startId(start));
    if (known?.target.announcement === Announcement.LEFT) return 'repeated';
    this.put({ ...(known?.target ?? emptyTarget(start)), announcement: Announcement.LEFT });
    return 'left';
  }

  /** Marks a start as draining or left, as another instance was told; also one that is not known here yet. */
  depart(start: TargetStart, announcement: controlMessage.Announcement): void {
    if (announcement === Announcement.LEFT) this.leave(start);
    if (announcement !== Announcement.DRAINING || this.isOld(start)) return;
    const known = this.entries.get(startId(start))?.target;
    if (known === undefined || !isFinal(known.announcement))
      this.put({ ...(known ?? emptyTarget(start)), announcement });
  }

  /** The known starts of a target. */
  startsOf(name: string): KnownStart[] {
    const now = this.clock.monotonic();
    return [...this.entries.values()]
      .filter(({ target }) => target.name === name)
      .map(({ target, firstHeartbeatAt }) => ({
        start: startOf(target),
        knownMs: now - firstHeartbeatAt,
      }));
  }

  /** The newest known starts of some targets. */
  heardStarts(names: readonly string[]): HeardStart[] {
    const now = this.clock.monotonic();
    return names.flatMap((name) => {
      const start = this.newestStarts.newestOf(name);
      if (start === undefined) return [];
      const heardAt = this.heardAt.get(startId(start));
      return { start, heardMs: heardAt === undefined ? undefined : now - heardAt };
    });
  }

  /** Checks for expired heartbeats and pauses until `stop`. */
  async run(): Promise<void> {
    const { signal } = this.ended;
    while (!signal.aborted) {
      this.checkExpiry();
      await this.clock.sleep(EXPIRY_CHECK_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.ended.abort();
  }

  /** Marks silent targets, ends expired pauses, and removes targets that are long gone. */
  checkExpiry(): void {
    const now = this.clock.monotonic();
    for (const { target, lastHeartbeatAt, observedAt = now } of [...this.entries.values()]) {
      const silentMs = now - lastHeartbeatAt;
      if (target.paused && now - observedAt > PAUSE_LIFETIME_MS) {
        this.put({ ...target, paused: false }, lastHeartbeatAt);
        continue;
      }
      if (silentMs > REMOVAL_DELAY_MS) this.remove(target);
      else if (this.isSilent(target, silentMs))
        this.put({ ...target, announcement: Announcement.SILENT }, lastHeartbeatAt);
    }
  }

  /** A silent target that drains stays so: it may be heard of again, and followers that come later must know. */
  private isSilent({ announcement }: controlMessage.AnnouncedTarget, silentMs: number): boolean {
    return announcement === Announcement.READY && silentMs > MISSED_HEARTBEATS * this.heartbeatMs;
  }

  /** Calls back when a start is removed. */
  onRemoved(listener: (start: TargetStart) => void): void {
    this.removalListeners.add(listener);
  }

  private remove(target: controlMessage.AnnouncedTarget): void {
    const start = startOf(target);
    this.entries.delete(target.id);
    this.heardAt.delete(target.id);
    this.newestStarts.remove(start);
    for (const listener of this.removalListeners) listener(start);
  }

  /** Whether a newer start is known. A new start ends the previous one, which then counts as left. */
  private isOld(start: TargetStart): boolean {
    const { isOld, ended } = this.newestStarts.observe(start);
    const previous = ended === undefined ? undefined : this.entries.get(startId(ended))?.target;
    if (previous !== undefined && previous.announcement !== Announcement.LEFT) {
      this.put({ ...previous, announcement: Announcement.LEFT });
    }
    return isOld;
  }

  /** Whether a heartbeat is out of date. A start that left never returns. */
  private isStale(known: controlMessage.AnnouncedTarget, sequence: number): boolean {
    return known.announcement === Announcement.LEFT || known.sequence >= BigInt(sequence);
  }

  private put(
    target: controlMessage.AnnouncedTarget,
    lastHeartbeatAt = this.clock.monotonic(),
    observedAt = this.entries.get(target.id)?.observedAt,
  ): void {
    const known = this.entries.get(target.id);
    const isChanged = known === undefined || comparableState(known.target) !== comparableState(target);
    if (isChanged) this.changeNumber += 1;
    const changeNumber = isChanged ? this.changeNumber : known.changeNumber;
    const firstHeartbeatAt = known?.firstHeartbeatAt ?? lastHeartbeatAt;
    this.entries.set(target.id, {
      target,
      lastHeartbeatAt,
      firstHeartbeatAt,
      observedAt,
      changeNumber,
    });
    if (!isChanged) return;
    this.log.event(controlEvents.targetAnnounced, {
      target: target.id,
      service: target.service,
      address: target.address,
      softwareVersion: target.softwareVersion,
      state: Announcement[target.announcement],
      before: known === undefined ? undefined : Announcement[known.target.announcement],
      paused: target.paused,
      weights: target.weights.map(({ model, version }) => `${model}@${version}`),
      sequence: Number(target.sequence),
    });
    for (const listener of this.listeners) listener();
  }
}

/** Whether a target can't go back to accepting work. */
export const isFinal = (announcement: controlMessage.Announcement): boolean =>
  announcement === Announcement.DRAINING || announcement === Announcement.LEFT;

/** The newer version for each model: weight versions only grow, and a heartbeat may be older than an observation. */
function newerWeights(
  some: readonly controlMessage.NamedWeights[],
  others: readonly controlMessage.NamedWeights[],
): controlMessage.NamedWeights[] {
  const newest = new Map<string, controlMessage.NamedWeights>();
  for (const weights of [...some, ...others]) {
    const known = newest.get(weights.model);
    if (known === undefined || known.version < weights.version) newest.set(weights.model, weights);
  }
  return [...newest.values()];
}

/** A target of which only the start is known. */
function emptyTarget(start: TargetStart): controlMessage.AnnouncedTarget {
  return create(AnnouncedTargetSchema, { id: startId(start), ...startFields(start) });
}

function targetOf(
  heartbeat: Heartbeat,
  known?: controlMessage.AnnouncedTarget,
): controlMessage.AnnouncedTarget {
  const { service, address, dataCentre, capacity, draining, sequence, coldMs, weights } = heartbeat;
  const { softwareVersion = '' } = heartbeat;
  const versions = weights.map(({ model, version }) =>
    create(controlMessage.NamedWeightsSchema, { model, version: BigInt(version) }),
  );
  return create(AnnouncedTargetSchema, {
    service,
    address,
    dataCentre,
    // The process beside a target announces it without its version.
    softwareVersion: softwareVersion === '' ? known?.softwareVersion : softwareVersion,
    capacity,
    coldMs,
    id: startId(heartbeat),
    ...startFields(heartbeat),
    // A target that drains does not go back: the heartbeat may be late, and the departure known from another instance.
    announcement:
      draining || known?.announcement === Announcement.DRAINING ? Announcement.DRAINING : Announcement.READY,
    sequence: BigInt(sequence),
    weights: newerWeights(known?.weights ?? [], versions),
    paused: known?.paused,
    observation: known?.observation,
  });
}
