/** Software versions of the targets that this instance knows of, of those that have left too. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import type { OriginStore } from '../origins/index.js';
import { REMOVAL_DELAY_MS } from '../targets/index.js';
import type { RelayedTargets, TargetRegistry } from '../targets/index.js';

/** Where the versions are known from. */
export interface SoftwareVersionSources {
  readonly targets: TargetRegistry;
  readonly relayed: RelayedTargets;
  readonly origins: OriginStore;
  readonly clock: Clock;
}

/** Lists versions, and knows for how long the list is complete. */
export class SoftwareVersions {
  private readonly startedAt: number;

  constructor(private readonly sources: SoftwareVersionSources) {
    this.startedAt = sources.clock.monotonic();
  }

  list({
    service,
    withinMs,
  }: controlMessage.ListSoftwareVersionsRequest): controlMessage.ListSoftwareVersionsResponse {
    const { targets, relayed, origins } = this.sources;
    const known = [...targets.since(0), ...relayed.since(0).flatMap((report) => report.targets)];
    const announced = known.filter((target) => target.service === service);
    const versions = new Set(versionsById(announced).values());
    for (const version of origins.versionsOf(service)) versions.add(version);
    return create(controlMessage.ListSoftwareVersionsResponseSchema, {
      versions: [...versions],
      complete: this.isComplete(withinMs),
    });
  }

  /** A restart loses the announcements of targets that have left. The versions of their streams are on the disk. */
  private isComplete(withinMs: number): boolean {
    if (withinMs > REMOVAL_DELAY_MS) return false;
    return this.sources.origins.isRestored || this.sources.clock.monotonic() - this.startedAt >= withinMs;
  }
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
