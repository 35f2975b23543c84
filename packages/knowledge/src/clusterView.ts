/** A process's view of the cluster, as received from control: the configuration in force, requested weights and targets. */
import { configuration, routingTable } from '@jasmineroute/configuration';
import type { RoutingTable } from '@jasmineroute/configuration';
import type { Clock, Log } from '@jasmineroute/core';
import { partKey } from '@jasmineroute/protocol';
import type { StoredPart, controlMessage } from '@jasmineroute/protocol';
import { knowledgeEvents } from './events.js';
import type { Listener } from './followTask.js';
import { readSharedEvents } from './sharedEvents.js';
import { TargetList } from './targetList.js';

const decoder = new TextDecoder();

/** Versions kept per model: enough for one a second for longer than any target lags behind. */
const MAX_VERSIONS = 32;

/** A requested version of weights. */
export interface NamedVersion {
  readonly version: number;
  /** Monotonic time of the request, the earliest that any control instance reports. */
  readonly namedAt: number;
}

/** Updated by the events of control instances; never goes back to an older configuration. */
export class ClusterView implements Listener {
  readonly targets: TargetList;
  private current: RoutingTable | undefined;
  private isConfirmed = false;
  /** Requested versions by model, the newest first. */
  private readonly namedVersions = new Map<string, NamedVersion[]>();
  private readonly entryCounts = new Map<string, number>();
  private readonly lostStores = new Map<string, readonly string[]>();
  /** Control instances whose state a followed instance relays, by the followed instance. */
  private readonly relayedControls = new Map<string, readonly string[]>();
  /** Keys of the parts that stores keep, by the control instance that reports them. */
  private readonly kept = new Map<string, Set<number>>();
  /** Keys of the parts in the caches of targets, by the control instance that reports them. */
  private readonly cached = new Map<string, Set<number>>();
  private readonly changeListeners = new Set<() => void>();
  private readonly eventListeners = new Set<() => void>();
  private readonly loadListeners = new Set<(load: controlMessage.TargetLoad) => void>();
  private readonly workListeners = new Set<(work: controlMessage.EntryWork) => void>();
  private readonly evidenceListeners = new Set<(evidence: readonly controlMessage.CrashEvidence[]) => void>();

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
   * Whether a quorum has confirmed since the start that the state held is the newest. Without that, a process that starts
   * beside an isolated control instance would serve by an outdated configuration.
   */
  confirmed(): boolean {
    return this.isConfirmed;
  }

  /** The newest requested version of a model's weights. */
  weightsOf(model: string): NamedVersion | undefined {
    return this.namedVersions.get(model)?.[0];
  }

  /** Monotonic time at which a version was first superseded by a newer one; undefined when it is the newest. */
  staleSince(model: string, version: number): number | undefined {
    const newer = (this.namedVersions.get(model) ?? []).filter((one) => one.version > version);
    return newer.length === 0 ? undefined : Math.min(...newer.map(({ namedAt }) => namedAt));
  }

  /** Models with a requested version of weights. */
  models(): string[] {
    return [...this.namedVersions.keys()];
  }

  /** Number of entries that serve callers now, this one included. */
  entries(): number {
    return Math.max(1, ...this.entryCounts.values());
  }

  /** Subscribes to new configurations and requested weights. Returns a function that unsubscribes. */
  onChange(listener: () => void): () => void {
    this.changeListeners.add(listener);
    return () => this.changeListeners.delete(listener);
  }

  /** Whether some control instance reports that a cache store does not answer. */
  isStoreLost(address: string): boolean {
    return [...this.lostStores.values()].some((lost) => lost.includes(address));
  }

  /** Whether a store keeps a part of a prompt; undefined while no control instance reports kept parts. */
  isKept(store: string, part: StoredPart): boolean | undefined {
    return this.kept.size === 0 ? undefined : hasKey(this.kept, partKey(store, part));
  }

  /** Whether a target is reported to have a part of a prompt in its cache. */
  isCached(address: string, part: StoredPart): boolean {
    return hasKey(this.cached, partKey(address, part));
  }

  /** Subscribes to the events of control instances; called after each is applied. Returns a function that unsubscribes. */
  onEvent(listener: () => void): () => void {
    this.eventListeners.add(listener);
    return () => this.eventListeners.delete(listener);
  }

  /** Subscribes to reported loads. Returns a function that unsubscribes. */
  onLoad(listener: (load: controlMessage.TargetLoad) => void): () => void {
    this.loadListeners.add(listener);
    return () => this.loadListeners.delete(listener);
  }

  /** Subscribes to the work that other entries report. Returns a function that unsubscribes. */
  onWork(listener: (work: controlMessage.EntryWork) => void): () => void {
    this.workListeners.add(listener);
    return () => this.workListeners.delete(listener);
  }

  /** Subscribes to evidence on requests that crash targets. Returns a function that unsubscribes. */
  onEvidence(listener: (evidence: readonly controlMessage.CrashEvidence[]) => void): () => void {
    this.evidenceListeners.add(listener);
    return () => this.evidenceListeners.delete(listener);
  }

  /** Applies an event of a control instance; `isFirst`: the first of its stream. */
  apply(control: string, event: controlMessage.FollowEvent, isFirst: boolean): void {
    if (event.evidence.length > 0) for (const listener of this.evidenceListeners) listener(event.evidence);
    this.configure(event);
    this.nameWeights(event.weights);
    this.entryCounts.set(control, event.entries);
    this.lostStores.set(control, event.lostStores);
    if (event.shared.length === 0) this.applyUpdate(control, event, isFirst);
    for (const update of readSharedEvents(event)) this.applyUpdate(control, update, update.whole);
    if (event.vouched && !this.isConfirmed) {
      this.isConfirmed = true;
      this.log.event(knowledgeEvents.confirmed, { control, number: this.current?.number });
    }
    for (const listener of this.eventListeners) listener();
  }

  /** Applies an event's targets, loads, work and caches; `isSnapshot`: the whole state of the control instance. */
  private applyUpdate(control: string, event: controlMessage.FollowEvent, isSnapshot: boolean): void {
    if (event.kept !== undefined) applyKeyChanges(this.kept, control, event.kept);
    if (event.cached !== undefined) applyKeyChanges(this.cached, control, event.cached);
    for (const load of event.loads) for (const listener of this.loadListeners) listener(load);
    for (const work of event.work) for (const listener of this.workListeners) listener(work);
    if (isSnapshot || event.targets.length > 0) this.targets.apply(control, event.targets, isSnapshot);
    this.applyRelayed(control, event, isSnapshot);
  }

  /** The stream of a control instance ended. */
  lost(control: string): void {
    this.entryCounts.delete(control);
    this.lostStores.delete(control);
    this.kept.delete(control);
    this.cached.delete(control);
    this.targets.lost(control);
    for (const other of this.relayedControls.get(control) ?? [])
      this.targets.lost(relayedName(control, other));
    this.relayedControls.delete(control);
  }

  /**
   * Applies what the sender relays from other control instances, each under a name of its own: a target is alive as long as
   * any of them receives its heartbeats, and an instance that the sender no longer follows counts as lost.
   */
  private applyRelayed(
    control: string,
    { relayed, heard }: controlMessage.FollowEvent,
    isSnapshot: boolean,
  ): void {
    for (const update of relayed)
      this.targets.apply(relayedName(control, update.control), update.targets, isSnapshot || update.whole);
    if (heard === undefined) return;
    for (const other of this.relayedControls.get(control) ?? [])
      if (!heard.controls.includes(other)) this.targets.lost(relayedName(control, other));
    this.relayedControls.set(control, heard.controls);
  }

  private configure({ number: sent, content, sharedSince }: controlMessage.FollowEvent): void {
    const number = Number(sent);
    const held = this.current?.number ?? -1;
    if (content.length > 0 && number > held) this.replace(number, content, Number(sharedSince));
    else if (number === held) this.renewSalt(Number(sharedSince));
  }

  private replace(number: number, content: Uint8Array, sharedSince: number): void {
    const parsed = configuration.safeParse(JSON.parse(decoder.decode(content)));
    if (!parsed.success) {
      const problem = parsed.error.message;
      this.log.event(knowledgeEvents.configurationUnreadable, { number, problem });
      return;
    }
    const before = this.current;
    // The salt only changes to that of a later configuration; a control instance of an older release tells none.
    this.use(
      routingTable(parsed.data, Math.max(sharedSince, before?.sharedSince ?? 0)),
      before?.number ?? -1,
    );
  }

  /** A control instance may tell of the configuration in force that it began a common salt, when another one has not told it. */
  private renewSalt(sharedSince: number): void {
    const { current } = this;
    if (current === undefined || sharedSince <= current.sharedSince) return;
    this.use(routingTable(current.configuration, sharedSince), current.number);
  }

  private use(table: RoutingTable, before: number): void {
    this.current = table;
    const { number, sharedSince } = table;
    this.log.event(knowledgeEvents.configured, { number, before, sharedSince });
    for (const listener of this.changeListeners) listener();
  }

  private nameWeights(weights: readonly controlMessage.NamedWeights[]): void {
    const now = this.clock.monotonic();
    for (const { model, version: sent, ageMs } of weights) {
      const version = Number(sent);
      const namedAt = now - ageMs;
      const known = this.namedVersions.get(model) ?? [];
      const same = known.find((one) => one.version === version);
      if (same !== undefined && same.namedAt <= namedAt) continue;
      const others = known.filter((one) => one !== same);
      const sorted = [...others, { version, namedAt }].sort((a, b) => b.version - a.version);
      this.namedVersions.set(model, sorted.slice(0, MAX_VERSIONS));
      if (same !== undefined) continue;
      this.log.event(knowledgeEvents.weightsNamed, { model, version, before: known[0]?.version, ageMs });
      for (const listener of this.changeListeners) listener();
    }
  }
}

/** Name of a control instance whose state another one relays. */
const relayedName = (sender: string, control: string): string => `${control} by ${sender}`;

type KeysByControl = Map<string, Set<number>>;

function applyKeyChanges(kept: KeysByControl, control: string, changes: controlMessage.KeptChanges): void {
  const keys = (changes.whole ? undefined : kept.get(control)) ?? new Set();
  for (const key of changes.dropped) keys.delete(key);
  for (const key of changes.added) keys.add(key);
  if (keys.size > 0) kept.set(control, keys);
  else kept.delete(control);
}

function hasKey(kept: KeysByControl, key: number): boolean {
  return [...kept.values()].some((keys) => keys.has(key));
}
