/** Targets that announced themselves to this control instance. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Log } from '@jasmineroute/core';
import { NewestStarts, controlMessage, startFields, startId, startOf } from '@jasmineroute/protocol';
import type { TargetStart, Unread } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';

/** Heartbeats that may be missed before a target counts as silent: one lost and one late. */
const MISSED_HEARTBEATS = 3;

/** Time after which a target that left or fell silent is forgotten, milliseconds: longer than a call may be late. */
const REMOVAL_DELAY_MS = 120_000;

/** A pause that was not renewed for so long is over, milliseconds: whoever asked for it is gone. */
const PAUSE_LIFETIME_MS = 6_000;

/**
 * A leave that does not tell its start is taken for one of the start before while the newest was first heard of less than
 * so long ago, milliseconds: calls arrive seconds late, and no target is stopped as planned as soon as it has started.
 */
const LATE_LEAVE_WINDOW_MS = 5_000;

/** How often silence is looked for, milliseconds. */
const EXPIRY_CHECK_MS = 300;

const { Announcement, AnnouncedTargetSchema } = controlMessage;

/** What a target says of itself in a heartbeat. */
export interface Heartbeat extends TargetStart {
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly capacity: number;
  readonly draining: boolean;
  /** Grows with each heartbeat of one start of the target. */
  readonly sequence: number;
  readonly coldMs: number;
  readonly weights: readonly { readonly model: string; readonly version: number }[];
  /** Models of its list that could not be read; absent: none. */
  readonly unread?: Unread;
}

interface TargetRecord {
  readonly target: controlMessage.AnnouncedTarget;
  readonly lastHeartbeatAt: number;
  readonly firstHeartbeatAt: number;
  /** When the last observation came; absent: none. */
  readonly observedAt?: number;
  /** Place of the last change that followers must hear of. */
  readonly changeNumber: number;
}

/** A target's state, without what changes with each heartbeat. */
function comparableState(target: controlMessage.AnnouncedTarget): string {
  const { service, address, announcement, capacity, weights, paused } = target;
  const versions = weights.map(({ model, version }) => `${model}@${version}`);
  return [service, address, announcement, capacity, paused, ...versions].join(' ');
}

/**
 * What this instance heard of targets. Each control instance keeps a book of its own and followers read all of
 * them, so a heartbeat need not go to a certain instance, and none waits for a quorum.
 */
export class TargetBook {
  private readonly entries = new Map<string, TargetRecord>();
  private readonly newestStarts = new NewestStarts();
  private readonly listeners = new Set<() => void>();
  private changeNumber = 0;
  private readonly ended = new AbortController();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly heartbeatMs: number,
  ) {}

  /** Place of the newest change. */
  lastChangeNumber(): number {
    return this.changeNumber;
  }

  /** Targets that changed after a place; 0 gives all. */
  since(place: number): controlMessage.AnnouncedTarget[] {
    return [...this.entries.values()]
      .filter((entry) => entry.changeNumber > place)
      .map(({ target }) => target);
  }

  /** Calls back after each change. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Takes a heartbeat. One that was overtaken by a newer one, by the target's leave or by a newer start of the target
   * changes nothing.
   */
  beat(heartbeat: Heartbeat): void {
    if (this.isOld(heartbeat)) return;
    const known = this.entries.get(startId(heartbeat));
    const { sequence } = heartbeat;
    if (known !== undefined && this.isStale(known.target, sequence)) return;
    this.put(targetOf(heartbeat, known?.target));
  }

  /**
   * Takes a target from the process beside it, as a heartbeat before all of the target's own: it brings nothing back, and
   * any call of the target's is newer.
   */
  announce(announced: controlMessage.AnnouncedTarget): void {
    const { service, address, dataCentre, capacity, weights } = announced;
    const versions = weights.map(({ model, version }) => ({ model, version: Number(version) }));
    const told = { service, address, dataCentre, capacity, weights: versions };
    this.beat({ ...startOf(announced), ...told, draining: false, sequence: 0, coldMs: 0 });
  }

  /** Takes a target that only another instance hears, so that what is observed of it can be told here too. */
  adopt(target: controlMessage.AnnouncedTarget): void {
    if (this.entries.has(target.id) || this.isOld(startOf(target))) return;
    this.put({ ...target, announcement: Announcement.SILENT });
  }

  /** Takes what the process beside a target says of it. @returns whether the target is known here. */
  observe({ targetId, observation, paused, weights }: controlMessage.ObserveRequest): boolean {
    const known = this.entries.get(targetId);
    if (known === undefined) return false;
    const { target, lastHeartbeatAt: heardAt } = known;
    if (observation < target.observation) return true;
    const newest = newerWeights(target.weights, weights);
    this.put({ ...target, paused, observation, weights: newest }, heardAt, this.clock.monotonic());
    return true;
  }

  /**
   * Takes a target's leave, also of one that this instance has not heard of. One that tells no start is of the newest
   * start, unless that is so new that it must be a late call of the one before.
   */
  leave(told: TargetStart): void {
    const start = told.born === undefined ? (this.newestStarts.of(told.name) ?? told) : told;
    if (this.isOld(start)) return;
    const id = startId(start);
    const known = this.entries.get(id);
    if (told.born !== start.born && known !== undefined && this.isLateLeave(known)) return;
    if (known?.target.announcement === Announcement.LEFT) return;
    const base = known?.target ?? emptyTarget(start);
    this.put({ ...base, announcement: Announcement.LEFT });
  }

  /** Looks for silent targets until `stop`. */
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

  /** Marks targets that were not heard for too long, and forgets those that are gone for good. */
  checkExpiry(): void {
    const now = this.clock.monotonic();
    for (const { target, lastHeartbeatAt: heardAt, observedAt = now } of [...this.entries.values()]) {
      const silentMs = now - heardAt;
      if (target.paused && now - observedAt > PAUSE_LIFETIME_MS) {
        this.put({ ...target, paused: false }, heardAt);
        continue;
      }
      if (silentMs > REMOVAL_DELAY_MS) this.remove(target);
      else if (this.isSilent(target, silentMs))
        this.put({ ...target, announcement: Announcement.SILENT }, heardAt);
    }
  }

  private isSilent({ announcement }: controlMessage.AnnouncedTarget, silentMs: number): boolean {
    const speaks = announcement === Announcement.READY || announcement === Announcement.DRAINING;
    return speaks && silentMs > MISSED_HEARTBEATS * this.heartbeatMs;
  }

  private remove(target: controlMessage.AnnouncedTarget): void {
    this.entries.delete(target.id);
    this.newestStarts.forget(startOf(target));
  }

  /** Whether a newer start was heard of. The start that this one follows is over: nobody must use it. */
  private isOld(start: TargetStart): boolean {
    const { isOld, ended } = this.newestStarts.hear(start);
    const before = ended === undefined ? undefined : this.entries.get(startId(ended))?.target;
    if (before !== undefined && before.announcement !== Announcement.LEFT) {
      this.put({ ...before, announcement: Announcement.LEFT });
    }
    return isOld;
  }

  /** Whether a leave without a start is too early for the newest one, and another start was known before it. */
  private isLateLeave({ target, firstHeartbeatAt: firstHeardAt }: TargetRecord): boolean {
    const hasOlder = [...this.entries.values()].some(
      (other) => other.target.name === target.name && other.target.id !== target.id,
    );
    return hasOlder && this.clock.monotonic() - firstHeardAt < LATE_LEAVE_WINDOW_MS;
  }

  /** A start of a target that left never comes back. */
  private isStale(known: controlMessage.AnnouncedTarget, sequence: number): boolean {
    return known.announcement === Announcement.LEFT || known.sequence >= BigInt(sequence);
  }

  private put(
    target: controlMessage.AnnouncedTarget,
    heardAt = this.clock.monotonic(),
    observedAt = this.entries.get(target.id)?.observedAt,
  ): void {
    const known = this.entries.get(target.id);
    const isNews = known === undefined || comparableState(known.target) !== comparableState(target);
    if (isNews) this.changeNumber += 1;
    const place = isNews ? this.changeNumber : known.changeNumber;
    const firstHeardAt = known?.firstHeartbeatAt ?? heardAt;
    this.entries.set(target.id, {
      target,
      lastHeartbeatAt: heardAt,
      firstHeartbeatAt: firstHeardAt,
      observedAt,
      changeNumber: place,
    });
    if (!isNews) return;
    this.log.event(controlEvents.targetAnnounced, {
      target: target.id,
      service: target.service,
      address: target.address,
      state: Announcement[target.announcement],
      before: known === undefined ? undefined : Announcement[known.target.announcement],
      paused: target.paused,
      weights: target.weights.map(({ model, version }) => `${model}@${version}`),
      sequence: Number(target.sequence),
    });
    for (const listener of this.listeners) listener();
  }
}

/** The newer version of each model: versions of weights only grow, and a heartbeat may be older than an observation. */
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

/** A target of which nothing is known but its start. */
function emptyTarget(start: TargetStart): controlMessage.AnnouncedTarget {
  return create(AnnouncedTargetSchema, { id: startId(start), ...startFields(start) });
}

function targetOf(
  heartbeat: Heartbeat,
  known?: controlMessage.AnnouncedTarget,
): controlMessage.AnnouncedTarget {
  const { service, address, dataCentre, capacity, draining, sequence, coldMs, weights } = heartbeat;
  const told = weights.map(({ model, version }) =>
    create(controlMessage.NamedWeightsSchema, { model, version: BigInt(version) }),
  );
  return create(AnnouncedTargetSchema, {
    service,
    address,
    dataCentre,
    capacity,
    coldMs,
    id: startId(heartbeat),
    ...startFields(heartbeat),
    announcement: draining ? Announcement.DRAINING : Announcement.READY,
    sequence: BigInt(sequence),
    weights: newerWeights(known?.weights ?? [], told),
    paused: known?.paused,
    observation: known?.observation,
  });
}
