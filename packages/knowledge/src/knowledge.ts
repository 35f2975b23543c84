/** What a process knows from control: the configuration in force, named weights and targets. */
import { configuration, routingTable } from '@jasmineroute/configuration';
import type { RoutingTable } from '@jasmineroute/configuration';
import type { Clock, Log } from '@jasmineroute/core';
import { partKey } from '@jasmineroute/protocol';
import type { StoredPart, controlMessage } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';
import type { Listener } from './followTask.js';
import { readShared } from './sharedNews.js';
import { TargetList } from './targetList.js';

const decoder = new TextDecoder();

/** Versions of a model that are remembered: one each second for longer than any target lags. */
const MOST_VERSIONS = 32;

/** A version of weights and when it was named. */
export interface NamedVersion {
  readonly version: number;
  /** Monotonic time, as early as any control instance knows. */
  readonly namedAt: number;
}

/** Replaced piece by piece by what control instances tell; never goes back to an older configuration. */
export class Knowledge implements Listener {
  readonly targets: TargetList;
  private current: RoutingTable | undefined;
  private isConfirmed = false;
  /** By model, the newest first. */
  private readonly named = new Map<string, NamedVersion[]>();
  private readonly entryCounts = new Map<string, number>();
  private readonly lostStores = new Map<string, readonly string[]>();
  /** Control instances that a followed one hears, by that one. */
  private readonly heardBy = new Map<string, readonly string[]>();
  /** What stores keep, and what targets have in their caches, by the control instance that tells it. */
  private readonly kept = new Map<string, Set<number>>();
  private readonly cached = new Map<string, Set<number>>();
  private readonly listeners = new Set<() => void>();
  private readonly newsListeners = new Set<() => void>();
  private readonly loadListeners = new Set<(load: controlMessage.TargetLoad) => void>();
  private readonly workListeners = new Set<(work: controlMessage.EntryWork) => void>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.targets = new TargetList(clock, log);
  }

  /** The configuration in force; undefined when none is known. */
  table(): RoutingTable | undefined {
    return this.current;
  }

  /** Number of the configuration in force; 0 when none is known. */
  number(): number {
    return this.current?.number ?? 0;
  }

  /**
   * Whether a quorum has confirmed since the start that what is held is the newest. Without that, a process that
   * starts beside an isolated control instance would serve by an old configuration.
   */
  confirmed(): boolean {
    return this.isConfirmed;
  }

  /** The newest version of a model's weights that was named. */
  weightsOf(model: string): NamedVersion | undefined {
    return this.named.get(model)?.[0];
  }

  /** Monotonic time at which a version was first overtaken by a newer one; undefined when it is the newest. */
  staleSince(model: string, version: number): number | undefined {
    const newer = (this.named.get(model) ?? []).filter((one) => one.version > version);
    return newer.length === 0 ? undefined : Math.min(...newer.map(({ namedAt }) => namedAt));
  }

  /** Models whose weights were named. */
  models(): string[] {
    return [...this.named.keys()];
  }

  /** Entries that serve callers now, this one included. */
  entries(): number {
    return Math.max(1, ...this.entryCounts.values());
  }

  /** Calls back after each new configuration and each naming of weights. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Whether some control instance finds that a store of kept cache does not answer. */
  isStoreLost(address: string): boolean {
    return [...this.lostStores.values()].some((lost) => lost.includes(address));
  }

  /** Whether a store keeps a part of a prompt; undefined while nobody tells what it keeps. */
  isKept(store: string, part: StoredPart): boolean | undefined {
    return this.kept.size === 0 ? undefined : hasKey(this.kept, partKey(store, part));
  }

  /** Whether a target is told to have a part of a prompt in its cache. */
  isCached(address: string, part: StoredPart): boolean {
    return hasKey(this.cached, partKey(address, part));
  }

  /** Calls back after each event of a control instance. Returns the way to stop. */
  onNews(listener: () => void): () => void {
    this.newsListeners.add(listener);
    return () => this.newsListeners.delete(listener);
  }

  /** Calls back with each load that is told. Returns the way to stop. */
  onLoad(listener: (load: controlMessage.TargetLoad) => void): () => void {
    this.loadListeners.add(listener);
    return () => this.loadListeners.delete(listener);
  }

  /** Calls back with each work that another entry told. Returns the way to stop. */
  onWork(listener: (work: controlMessage.EntryWork) => void): () => void {
    this.workListeners.add(listener);
    return () => this.workListeners.delete(listener);
  }

  /** Takes an event of a control instance; `whole`: the first of its stream. */
  apply(control: string, event: controlMessage.FollowEvent, whole: boolean): void {
    this.configure(event);
    this.nameWeights(event.weights);
    this.entryCounts.set(control, event.entries);
    this.lostStores.set(control, event.lostStores);
    if (event.shared.length === 0) this.take(control, event, whole);
    for (const news of readShared(event)) this.take(control, news, news.whole);
    if (event.vouched && !this.isConfirmed) {
      this.isConfirmed = true;
      this.log.event(knowledgeEvents.confirmed, { control, number: this.current?.number });
    }
    for (const listener of this.newsListeners) listener();
  }

  /** Takes what an event tells of targets, loads, work and caches; `whole`: all that the control instance knows. */
  private take(control: string, event: controlMessage.FollowEvent, whole: boolean): void {
    if (event.kept !== undefined) note(this.kept, control, event.kept);
    if (event.cached !== undefined) note(this.cached, control, event.cached);
    for (const load of event.loads) for (const listener of this.loadListeners) listener(load);
    for (const work of event.work) for (const listener of this.workListeners) listener(work);
    if (whole || event.targets.length > 0) this.targets.apply(control, event.targets, whole);
    this.relay(control, event, whole);
  }

  /** The stream of a control instance ended. */
  lost(control: string): void {
    this.entryCounts.delete(control);
    this.lostStores.delete(control);
    this.kept.delete(control);
    this.cached.delete(control);
    this.targets.lost(control);
    for (const other of this.heardBy.get(control) ?? []) this.targets.lost(relayName(control, other));
    this.heardBy.delete(control);
  }

  /**
   * What other control instances told the sender. Each of them counts by itself, as the sender tells of it: a target lives
   * as long as any of them hears it, and one that the sender hears no more is as good as lost.
   */
  private relay(control: string, { relayed, heard }: controlMessage.FollowEvent, whole: boolean): void {
    for (const told of relayed)
      this.targets.apply(relayName(control, told.control), told.targets, whole || told.whole);
    if (heard === undefined) return;
    for (const other of this.heardBy.get(control) ?? [])
      if (!heard.controls.includes(other)) this.targets.lost(relayName(control, other));
    this.heardBy.set(control, heard.controls);
  }

  private configure({ number, content }: controlMessage.FollowEvent): void {
    const held = this.current?.number ?? -1;
    if (content.length === 0 || Number(number) <= held) return;
    const parsed = configuration.safeParse(JSON.parse(decoder.decode(content)));
    if (!parsed.success) {
      this.log.event(knowledgeEvents.badConfiguration, {
        number: Number(number),
        problem: parsed.error.message,
      });
      return;
    }
    this.current = routingTable(parsed.data);
    this.log.event(knowledgeEvents.configured, { number: Number(number), before: held });
    for (const listener of this.listeners) listener();
  }

  private nameWeights(weights: readonly controlMessage.NamedWeights[]): void {
    const now = this.clock.monotonic();
    for (const { model, version: sent, ageMs } of weights) {
      const version = Number(sent);
      const namedAt = now - ageMs;
      const known = this.named.get(model) ?? [];
      const same = known.find((one) => one.version === version);
      if (same !== undefined && same.namedAt <= namedAt) continue;
      const others = known.filter((one) => one !== same);
      const sorted = [...others, { version, namedAt }].sort((a, b) => b.version - a.version);
      this.named.set(model, sorted.slice(0, MOST_VERSIONS));
      if (same !== undefined) continue;
      this.log.event(knowledgeEvents.weightsNamed, { model, version, before: known[0]?.version, ageMs });
      for (const listener of this.listeners) listener();
    }
  }
}

/** Under what name a control instance counts that another one tells of. */
const relayName = (sender: string, control: string): string => `${control} by ${sender}`;

type KeysByControl = Map<string, Set<number>>;

function note(kept: KeysByControl, control: string, changes: controlMessage.KeptChanges): void {
  const keys = (changes.whole ? undefined : kept.get(control)) ?? new Set();
  for (const key of changes.dropped) keys.delete(key);
  for (const key of changes.added) keys.add(key);
  if (keys.size > 0) kept.set(control, keys);
  else kept.delete(control);
}

function hasKey(kept: KeysByControl, key: number): boolean {
  return [...kept.values()].some((keys) => keys.has(key));
}
