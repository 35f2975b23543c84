/** What a process knows from control: the configuration in force, named weights and targets. */
import { configuration, routingTable } from '@jasmineroute/configuration';
import type { RoutingTable } from '@jasmineroute/configuration';
import type { Clock, Log } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import { TargetList } from './targetList.js';

const decoder = new TextDecoder();

/** Replaced piece by piece by what control instances tell; never goes back to an older configuration. */
export class Knowledge {
  readonly targets: TargetList;
  private current: RoutingTable | undefined;
  private isConfirmed = false;
  private readonly versions = new Map<string, number>();
  private readonly entryCounts = new Map<string, number>();
  private readonly listeners = new Set<() => void>();

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

  /**
   * Whether a quorum has confirmed since the start that what is held is the newest. Without that, a process that
   * starts beside an isolated control instance would serve by an old configuration.
   */
  confirmed(): boolean {
    return this.isConfirmed;
  }

  /** The newest version of a model's weights that was named. */
  weightsOf(model: string): number | undefined {
    return this.versions.get(model);
  }

  /** Entries that serve callers now, this one included. */
  entries(): number {
    return Math.max(1, ...this.entryCounts.values());
  }

  /** Calls back after each new configuration. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Takes an event of a control instance; `whole`: the first of its stream. */
  apply(control: string, event: controlMessage.FollowEvent, whole: boolean): void {
    this.configure(event);
    this.nameWeights(event.weights);
    this.entryCounts.set(control, event.entries);
    if (whole || event.targets.length > 0) this.targets.apply(control, event.targets, whole);
    if (event.vouched && !this.isConfirmed) {
      this.isConfirmed = true;
      this.log.event(relayEvents.confirmed, { control, number: this.current?.number });
    }
  }

  /** The stream of a control instance ended. */
  lost(control: string): void {
    this.entryCounts.delete(control);
    this.targets.lost(control);
  }

  private configure({ number, content }: controlMessage.FollowEvent): void {
    const held = this.current?.number ?? -1;
    if (content.length === 0 || Number(number) <= held) return;
    const parsed = configuration.safeParse(JSON.parse(decoder.decode(content)));
    if (!parsed.success) {
      this.log.event(relayEvents.badConfiguration, { number: Number(number), problem: parsed.error.message });
      return;
    }
    this.current = routingTable(parsed.data);
    this.log.event(relayEvents.configured, { number: Number(number), before: held });
    for (const listener of this.listeners) listener();
  }

  private nameWeights(weights: readonly controlMessage.NamedWeights[]): void {
    for (const { model, version } of weights) {
      const known = this.versions.get(model) ?? 0;
      if (Number(version) <= known) continue;
      this.versions.set(model, Number(version));
      this.log.event(relayEvents.weightsNamed, { model, version: Number(version), before: known });
    }
  }
}
