/** Announces the target beside this process while no control instance reports it. */
import type { ChangeSignal } from '@jasmineroute/directory';
import { FailoverClient } from '@jasmineroute/knowledge';
import type { ClusterView, FailoverParts } from '@jasmineroute/knowledge';
import { startFields } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetIdentity, TargetPort } from '../port/index.js';

/** Poll interval while the target is unknown, milliseconds: a tenth of the heartbeat interval. */
const POLL_INTERVAL_MS = 100;

/** Longest poll interval while the target is known, milliseconds. */
const IDLE_POLL_INTERVAL_MS = 1_000;

/** Timeout of a call to the target, milliseconds: it runs on the same instance. */
const CALL_TIMEOUT_MS = 400;

/**
 * Pause after an identity request, milliseconds: to the target it is a health check, with the cost of one. By the end of the
 * pause the target has called a control instance itself.
 */
const IDENTITY_INTERVAL_MS = 2_000;

/** Dependencies of the announcer. */
export interface AnnouncerParts extends FailoverParts {
  /** host:port of the target. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly port: TargetPort;
  readonly knowledge: ClusterView;
  /** Raised with each event of a control instance. */
  readonly changes: ChangeSignal;
}

/**
 * A control instance that has just started knows no target until each has called it, and a target whose call failed calls
 * again a heartbeat later. After a loss of all instances the first targets that call would get all requests. The process
 * beside a target announces it without waiting for its call.
 */
export class Announcer {
  private readonly stopped = new AbortController();
  private readonly client: FailoverClient;

  constructor(private readonly parts: AnnouncerParts) {
    this.client = new FailoverClient(parts);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, changes } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const wasAsked = await this.poll();
      if (this.isKnown()) await changes.wait(clock, IDLE_POLL_INTERVAL_MS, signal);
      else
        await clock.sleep(wasAsked ? IDENTITY_INTERVAL_MS : POLL_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Announces the target if it serves and is unknown. @returns whether its identity was requested. */
  async poll(): Promise<boolean> {
    const { knowledge, address, service, port, log } = this.parts;
    const healthPath = knowledge.table()?.serviceOf(service)?.healthPath;
    if (healthPath === undefined || this.isKnown()) return false;
    const report = await port.report(CALL_TIMEOUT_MS);
    // While the target is down it is polled again; `LoadReporter` logs its loss.
    if (report.isErr()) return false;
    const identity = await port.identity(healthPath, CALL_TIMEOUT_MS);
    if (identity.isErr()) {
      log.event(rolloutEvents.identityUnknown, { address, problem: identity.error.message });
      return true;
    }
    // The client logs control instances that don't answer.
    const isAnnounced = await this.announce(identity.value, report.value.weights);
    if (isAnnounced) log.event(rolloutEvents.announced, { target: identity.value.name, address });
    return true;
  }

  private isKnown(): boolean {
    const { knowledge, address } = this.parts;
    return knowledge.targets.at(address) !== undefined;
  }

  private async announce(identity: TargetIdentity, weights: ReadonlyMap<string, number>): Promise<boolean> {
    const { address, service, dataCentre } = this.parts;
    const versions = [...weights].map(([model, version]) => ({ model, version: BigInt(version) }));
    const { capacity } = identity;
    const place = { address, service, dataCentre, capacity };
    const announced = { ...startFields(identity), ...place, weights: versions };
    const control = await this.client.call((client, options) => client.announce(announced, options));
    return control !== undefined;
  }
}
