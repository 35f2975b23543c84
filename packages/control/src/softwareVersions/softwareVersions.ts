/** Software versions of the targets that this instance knows of, of those that have left too. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { ConfigurationState } from '../configuration/index.js';
import type { CommandLog } from '../log/index.js';
import type { OriginStore, ServiceVersion } from '../origins/index.js';
import { Coalescer } from '../recent/index.js';
import { REMOVAL_DELAY_MS } from '../targets/index.js';
import type { RelayedTargets, TargetRegistry } from '../targets/index.js';

/** Time for which changes of targets are gathered before their versions are stored, milliseconds. */
const STORE_DELAY_MS = 10;

/** Where the versions are known from. */
export interface SoftwareVersionSources {
  readonly targets: TargetRegistry;
  readonly relayed: RelayedTargets;
  readonly origins: OriginStore;
  /** Holds the configuration. */
  readonly configuration: Pick<ConfigurationState, 'held'>;
  /** Knows all control instances. */
  readonly commandLog: Pick<CommandLog, 'members'>;
  readonly clock: Clock;
}

/** Lists versions, and knows for how long the list is complete. */
export class SoftwareVersions {
  private readonly startedAt: number;
  /** Numbers of the last changes whose versions are stored. */
  private targetsStored = 0;
  private relayedStored = 0;

  constructor(private readonly sources: SoftwareVersionSources) {
    const { targets, relayed, origins, clock } = sources;
    this.startedAt = clock.monotonic();
    origins.keepVersions(() => versionsOf(this.announcedSince(0, 0)));
    const changes = new Coalescer(clock, () => STORE_DELAY_MS, this.storeChanged);
    for (const changing of [targets, relayed]) changing.onChange(changes.recordChange);
  }

  list({
    service,
    withinMs,
  }: controlMessage.ListSoftwareVersionsRequest): controlMessage.ListSoftwareVersionsResponse {
    const { origins, configuration, commandLog } = this.sources;
    const announced = this.announcedSince(0, 0).filter((target) => target.service === service);
    const versions = new Set(versionsById(announced).values());
    for (const version of origins.versionsOf(service)) versions.add(version);
    return create(controlMessage.ListSoftwareVersionsResponseSchema, {
      versions: [...versions],
      complete: this.isComplete(withinMs),
      controls: commandLog.members().map(({ address }) => address),
      number: configuration.held().number,
    });
  }

  /** Stores the versions of the targets that have changed. */
  private readonly storeChanged = (): void => {
    const { targets, relayed, origins } = this.sources;
    const changed = this.announcedSince(this.targetsStored, this.relayedStored);
    this.targetsStored = targets.lastChangeNumber();
    this.relayedStored = relayed.lastChangeNumber();
    origins.storeVersions(versionsOf(changed));
  };

  /** Targets that changed after these change numbers, own ones and those that others relay. */
  private announcedSince(target: number, relayedTarget: number): controlMessage.AnnouncedTarget[] {
    const { targets, relayed } = this.sources;
    return [...targets.since(target), ...relayed.since(relayedTarget).flatMap((report) => report.targets)];
  }

  /** A restart loses the announcements of targets that have left. Their versions are on the disk. */
  private isComplete(withinMs: number): boolean {
    if (withinMs > REMOVAL_DELAY_MS) return false;
    return this.sources.origins.isRestored || this.sources.clock.monotonic() - this.startedAt >= withinMs;
  }
}

/** Versions that targets named, each once. */
function versionsOf(announced: readonly controlMessage.AnnouncedTarget[]): ServiceVersion[] {
  const versions = new Map<string, ServiceVersion>();
  for (const { service, softwareVersion } of announced)
    if (softwareVersion !== '')
      versions.set(JSON.stringify([service, softwareVersion]), { service, softwareVersion });
  return [...versions.values()];
}

/**
 * The version of each start of a target. The process beside a target announces it without its version, often to another
 * control instance than the target calls itself.
 */
function versionsById(announced: readonly controlMessage.AnnouncedTarget[]): Map<string, string> {
  const versions = new Map<string, string>();
  for (const { id, softwareVersion } of announced)
    if (softwareVersion !== '' || !versions.has(id)) versions.set(id, softwareVersion);
  return versions;
}
