/** Announced targets as this process believes them, merged from all control instances. */
import type { Clock, Log } from '@jasmineroute/core';
import { NewestStarts, controlMessage, startId, startOf } from '@jasmineroute/protocol';
import type { TargetStart } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';

const { Announcement } = controlMessage;

/** What a lost control instance said is believed for so long: longer than a target takes to call another one. */
const LOST_CONTROL_MS = 4_000;

/** Targets that left or fell silent are forgotten after so long, milliseconds. */
const FORGET_MS = 120_000;

/** One start of a target, as it announced itself. */
export interface Target extends TargetStart {
  /** New for each start of the target: what is held, counted or believed of a target is kept under it. */
  readonly id: string;
  readonly service: string;
  /** host:port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that run at once. */
  readonly capacity: number;
  /** Version of the weights of each model, as announced. */
  readonly weights: ReadonlyMap<string, number>;
  /** Takes no new work for a moment: its weights are being replaced. */
  readonly paused: boolean;
}

interface Known {
  target: Target;
  sequence: bigint;
  /** Number of the observation that the target's weights and pause come from. */
  observation: bigint;
  /** Its own word: draining and left are final. */
  announcement: controlMessage.Announcement;
  /** Control instances that hear it: the instance's address to whether it does. */
  readonly heardBy: Map<string, boolean>;
  changedAt: number;
  /** Monotonic time at which it was first heard of. */
  readonly since: number;
  /** Another target stands at its address: a late announcement must not bring this one back. */
  replaced: boolean;
}

const finality: Partial<Record<controlMessage.Announcement, number>> = {
  [Announcement.DRAINING]: 1,
  [Announcement.LEFT]: 2,
};
const finalityOf = (announcement: controlMessage.Announcement): number => finality[announcement] ?? 0;

/**
 * Targets by the id of their start. Addresses are given out again, so nothing is kept by address. A target counts as alive as long
 * as any control instance hears it: heartbeats go to one instance at a time, and the others fall silent about it.
 */
export class TargetList {
  private readonly targets = new Map<string, Known>();
  private readonly newest = new NewestStarts();
  private readonly lostAt = new Map<string, number>();
  private readonly pauseListeners = new Set<(id: string) => void>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Targets of a service that take new work. */
  ready(service: string): Target[] {
    this.expire();
    return [...this.targets.values()]
      .filter((known) => known.target.service === service && isReady(known))
      .map(({ target }) => target);
  }

  /** Whether a target takes new work still. */
  isReady(id: string): boolean {
    const known = this.targets.get(id);
    return known !== undefined && isReady(known);
  }

  /** The newest target at an address that has not left; undefined when none announced itself there. */
  at(address: string): Target | undefined {
    const there = [...this.targets.values()].filter(
      (known) =>
        known.target.address === address && !known.replaced && known.announcement !== Announcement.LEFT,
    );
    return there.sort((a, b) => b.since - a.since)[0]?.target;
  }

  /** How many targets of a service take work or are paused. */
  count(service: string): number {
    return [...this.targets.values()].filter((known) => known.target.service === service && isServing(known))
      .length;
  }

  /** Targets that have weights and take work, or are paused. */
  weighted(): Target[] {
    this.expire();
    return [...this.targets.values()]
      .filter((known) => known.target.weights.size > 0 && isServing(known))
      .map(({ target }) => target);
  }

  /** Calls back with the id of each target that begins to pause. Returns the way to stop. */
  onPause(listener: (id: string) => void): () => void {
    this.pauseListeners.add(listener);
    return () => this.pauseListeners.delete(listener);
  }

  /** Ids of all that are known. */
  ids(): ReadonlySet<string> {
    return new Set(this.targets.keys());
  }

  /** Takes what a control instance says; `whole`: all that it knows. */
  apply(control: string, announced: readonly controlMessage.AnnouncedTarget[], whole: boolean): void {
    this.lostAt.delete(control);
    if (whole) for (const known of this.targets.values()) known.heardBy.delete(control);
    for (const one of announced) this.take(control, one);
  }

  /** The stream of a control instance ended. */
  lost(control: string): void {
    this.lostAt.set(control, this.clock.monotonic());
  }

  /** A target's address answered for another target, or it started again: this one is gone for good. */
  replaced(id: string): void {
    const known = this.targets.get(id);
    if (known === undefined || known.replaced) return;
    known.replaced = true;
    known.changedAt = this.clock.monotonic();
    this.log.event(knowledgeEvents.targetChanged, { target: id, state: 'replaced' });
  }

  /** Of two starts of one target the newer one counts, in whichever order and from whomever they are heard. */
  private take(control: string, announced: controlMessage.AnnouncedTarget): void {
    const now = this.clock.monotonic();
    const { isOld, ended } = this.newest.hear(startOf(announced));
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
      heardBy: new Map<string, boolean>(),
      changedAt: now,
      since: now,
      replaced: false,
    };
    this.targets.set(announced.id, known);
    const before = stateOf(known);
    known.heardBy.set(control, announced.announcement !== Announcement.SILENT);
    this.believe(known, announced);
    const state = stateOf(known);
    if (state === before) return;
    known.changedAt = now;
    const { id, service, address, paused } = known.target;
    if (paused) for (const listener of this.pauseListeners) listener(id);
    this.log.event(knowledgeEvents.targetChanged, { target: id, service, address, state, before, control });
  }

  /** The newest word counts; what is final stays, also against a newer sequence from a process that thawed late. */
  private believe(known: Known, announced: controlMessage.AnnouncedTarget): void {
    const isWord = announced.announcement !== Announcement.SILENT;
    if (isWord && finalityOf(announced.announcement) >= finalityOf(known.announcement)) {
      known.announcement = announced.announcement;
    }
    if (announced.address === '') return;
    const isNewer = announced.sequence >= known.sequence;
    const isObserved = announced.observation >= known.observation;
    const told = targetOf(announced);
    const weights = newest(known.target.weights, told.weights);
    const paused = isObserved ? told.paused : known.target.paused;
    known.target = { ...(isNewer ? told : known.target), weights, paused };
    if (isNewer) known.sequence = announced.sequence;
    if (isObserved) known.observation = announced.observation;
  }

  private expire(): void {
    const now = this.clock.monotonic();
    for (const [control, at] of this.lostAt) {
      // Without any control instance what is known stays: serving on it is better than not at all.
      if (now - at < LOST_CONTROL_MS || !this.hasOther(control)) continue;
      for (const known of this.targets.values()) known.heardBy.delete(control);
      this.lostAt.delete(control);
    }
    for (const [id, known] of this.targets) {
      if (isReady(known) || now - known.changedAt <= FORGET_MS) continue;
      this.targets.delete(id);
      this.newest.forget(known.target);
    }
  }

  private hasOther(lost: string): boolean {
    return [...this.targets.values()].some((known) =>
      [...known.heardBy].some(([control, hears]) => hears && control !== lost && !this.lostAt.has(control)),
    );
  }
}

function isReady(known: Known): boolean {
  if (known.replaced || known.announcement !== Announcement.READY || known.target.paused) return false;
  return [...known.heardBy.values()].some((hears) => hears);
}

const isServing = (known: Known): boolean => isReady(known) || known.target.paused;

function stateOf(known: Known): string {
  if (known.replaced) return 'replaced';
  if (known.announcement !== Announcement.READY) return Announcement[known.announcement].toLowerCase();
  if (known.target.paused) return 'paused';
  return isReady(known) ? 'ready' : 'silent';
}

/** The newer version of each model: versions of weights only grow. */
function newest(
  some: ReadonlyMap<string, number>,
  others: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const merged = new Map(some);
  for (const [model, version] of others) merged.set(model, Math.max(version, merged.get(model) ?? 0));
  return merged;
}

function targetOf(announced: controlMessage.AnnouncedTarget): Target {
  const { id, service, address, dataCentre, capacity, weights, paused } = announced;
  const versions = new Map(weights.map(({ model, version }) => [model, Number(version)]));
  return { ...startOf(announced), id, service, address, dataCentre, capacity, weights: versions, paused };
}
