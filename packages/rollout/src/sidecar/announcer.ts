/** Announces the target beside this process while no control instance tells of it. */
import type { ChangeSignal } from '@jasmineroute/directory';
import { Teller } from '@jasmineroute/knowledge';
import type { Knowledge, TellerParts } from '@jasmineroute/knowledge';
import { startFields } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetIdentity, TargetPort } from '../port/index.js';

/** Pause between two looks while nobody tells of the target, milliseconds: a tenth of the time between two heartbeats. */
const LOOK_MS = 100;

/** Longest pause between two looks while somebody does, milliseconds. */
const IDLE_LOOK_MS = 1_000;

/** Longest wait for an answer of the target, milliseconds: it comes from the same instance. */
const CALL_MS = 400;

/**
 * Pause after the target was asked who it is, milliseconds: that counts as a health check, and costs what one does. By then
 * the target has called a control instance itself.
 */
const PAUSE_MS = 2_000;

/** What the announcer works with. */
export interface AnnouncerParts extends TellerParts {
  /** host:port of the target. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly port: TargetPort;
  readonly knowledge: Knowledge;
  /** Raised with each event of a control instance. */
  readonly news: ChangeSignal;
}

/**
 * A control instance that starts knows no target until each has called it, and a call that found nobody there is followed by
 * the next a heartbeat later. After a loss of all instances the first targets that call would get all requests. The
 * process beside a target needs not wait for its call.
 */
export class Announcer {
  private readonly stopped = new AbortController();
  private readonly teller: Teller;

  constructor(private readonly parts: AnnouncerParts) {
    this.teller = new Teller(parts);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, news } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const isAsked = await this.look();
      if (this.isKnown()) await news.wait(clock, IDLE_LOOK_MS, signal);
      else await clock.sleep(isAsked ? PAUSE_MS : LOOK_MS, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  /** Announces the target if it serves and nobody tells of it. @returns whether it was asked who it is. */
  async look(): Promise<boolean> {
    const { knowledge, address, service, port, log } = this.parts;
    const healthPath = knowledge.table()?.serviceOf(service)?.healthPath;
    if (healthPath === undefined || this.isKnown()) return false;
    const report = await port.report(CALL_MS);
    // While the target is down it is asked again; its loss is logged by what follows its load.
    if (report.isErr()) return false;
    const identity = await port.identity(healthPath, CALL_MS);
    if (identity.isErr()) {
      log.event(rolloutEvents.notAnnounced, { address, problem: identity.error.message });
      return true;
    }
    // A control instance that can't be told is logged by the teller.
    const told = await this.tell(identity.value, report.value.weights);
    if (told) log.event(rolloutEvents.announced, { target: identity.value.name, address });
    return true;
  }

  private isKnown(): boolean {
    const { knowledge, address } = this.parts;
    return knowledge.targets.at(address) !== undefined;
  }

  private async tell(identity: TargetIdentity, weights: ReadonlyMap<string, number>): Promise<boolean> {
    const { address, service, dataCentre } = this.parts;
    const versions = [...weights].map(([model, version]) => ({ model, version: BigInt(version) }));
    const { capacity } = identity;
    const place = { address, service, dataCentre, capacity };
    const announced = { ...startFields(identity), ...place, weights: versions };
    const control = await this.teller.tell((client, options) => client.announce(announced, options));
    return control !== undefined;
  }
}
