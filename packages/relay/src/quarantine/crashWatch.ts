/** Finds out whether a target that broke off an answer has ended. */
import type { Clock, Log, Metrics, StallWatch } from '@jasmineroute/core';
import type { Target, TargetList } from '@jasmineroute/knowledge';
import { relayEvents } from '../events.js';
import { relayMetrics } from '../metrics.js';
import { probeTarget } from './targetProbe.js';
import type { ProbeResult } from './targetProbe.js';

/** Interval between two checks of a target whose fate is not known yet, milliseconds. */
const CHECK_INTERVAL_MS = 300;

/** Time after which a target that was not found to have ended counts as alive, milliseconds: some missed heartbeats. */
const WATCH_MS = 5_000;

/** Time for which the result for a target is reused, milliseconds: all its connections break at about the same time. */
const REUSE_MS = 1_000;

/** Targets of a service that end within so many milliseconds are taken to have ended together, if there are so many. */
const COINCIDENCE_MS = 1_000;
const MIN_COINCIDENT = 3;

/** Targets of a service that break off answers within so many milliseconds have ended at the same moment, if they have ended. */
const SAME_MOMENT_MS = 10;

interface End {
  readonly service: string;
  readonly at: number;
}

/** What became of a target whose connection broke. */
export interface Fate {
  /** Whether it has ended, as far as the first probe shows. */
  readonly first: Promise<boolean>;
  /** Whether it has ended. */
  readonly final: Promise<boolean>;
  /** Id of another target of its service that broke off answers at the same moment. */
  readonly together?: string;
}

interface Break {
  readonly target: Target;
  readonly at: number;
}

/** Dependencies of the watch. */
export interface CrashWatchParts {
  readonly targets: Pick<TargetList, 'lifeOf'>;
  readonly clock: Clock;
  /** After a stall, answers that broke off at different moments are read at once. */
  readonly stalls: Pick<StallWatch, 'current'>;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Replaced in tests. */
  readonly probe?: typeof probeTarget;
}

/**
 * A broken connection alone says nothing about the target: links are cut, connections are reset, processes of this system
 * restart. A target has ended when its address refuses connections, or when another start is announced there.
 */
export class CrashWatch {
  private readonly fates = new Map<string, Fate>();
  /** Targets that ended lately, by id. */
  private readonly ends = new Map<string, End>();
  /** The last target that broke off an answer, by its service. */
  private readonly lastBreaks = new Map<string, Break>();

  constructor(private readonly parts: CrashWatchParts) {}

  /** The fate of a target that just broke off an answer. One that announced to leave ends as planned: it does not crash. */
  fateOf(target: Target): Fate {
    const known = this.fates.get(target.id);
    if (known !== undefined) return known;
    const fate = this.watch(target);
    this.fates.set(target.id, fate);
    this.parts.clock.after(REUSE_MS, () => this.fates.delete(target.id));
    return fate;
  }

  /** Resolves, some time after a target ended, to whether several of its service ended together, as by a loss of power. */
  async isCoincident({ id, service }: Target): Promise<boolean> {
    const end = this.ends.get(id);
    if (end === undefined) return false;
    await this.parts.clock.sleep(COINCIDENCE_MS);
    const together = [...this.ends.values()].filter(
      (other) => other.service === service && Math.abs(other.at - end.at) <= COINCIDENCE_MS,
    );
    return together.length >= MIN_COINCIDENT;
  }

  private watch(target: Target): Fate {
    const { clock, targets, probe = probeTarget } = this.parts;
    if (targets.lifeOf(target) === 'leaving') {
      this.record(target, 'left', undefined);
      return { first: Promise.resolve(false), final: Promise.resolve(false) };
    }
    const together = this.togetherWith(target);
    const first = probe(target.address, clock);
    const final = first.then((result) => this.follow(target, result));
    return { first: first.then((result) => result === 'refused'), final, together };
  }

  /** The target of the service that broke off answers right before this one, if that was at the same moment. */
  private togetherWith(target: Target): string | undefined {
    const { clock, stalls } = this.parts;
    const at = clock.monotonic();
    const last = this.lastBreaks.get(target.service);
    this.lastBreaks.set(target.service, { target, at });
    if (last === undefined || at - last.at > SAME_MOMENT_MS || stalls.current() !== undefined)
      return undefined;
    return last.target.id === target.id ? undefined : last.target.id;
  }

  /** Follows a target until it is known to have ended, or long enough to count as alive. */
  private async follow(target: Target, first: ProbeResult): Promise<boolean> {
    const { clock, targets, probe = probeTarget } = this.parts;
    const until = clock.monotonic() + WATCH_MS;
    let result = first;
    while (clock.monotonic() < until) {
      if (result === 'refused' || targets.lifeOf(target) === 'replaced') {
        this.record(target, 'ended', first);
        return true;
      }
      await clock.sleep(CHECK_INTERVAL_MS);
      // Once the address accepts connections, only the announcement of another start shows that this one ended.
      if (result === 'unanswered') result = await probe(target.address, clock);
    }
    const isSilent = result === 'unanswered' && targets.lifeOf(target) === 'silent';
    this.record(target, isSilent ? 'ended' : 'alive', first);
    return isSilent;
  }

  private recordEnd({ id, service }: Target): void {
    const { clock } = this.parts;
    this.ends.set(id, { service, at: clock.monotonic() });
    clock.after(3 * COINCIDENCE_MS, () => this.ends.delete(id));
  }

  private record(target: Target, fate: 'ended' | 'alive' | 'left', probe: ProbeResult | undefined): void {
    const { log, metrics } = this.parts;
    if (fate === 'ended') this.recordEnd(target);
    metrics.count(relayMetrics.brokenTargets, 1, { fate });
    log.event(relayEvents.targetFate, { target: target.id, service: target.service, fate, probe });
  }
}
