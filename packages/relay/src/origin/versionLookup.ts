/** Asks control instances which software versions the targets of a service had. */
import { createClient } from '@connectrpc/connect';
import { controlMessage } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import { callWithin } from './callWithin.js';
import type { OriginLookupParts } from './originLookup.js';

/** Time for which lookups are gathered into one call, milliseconds. */
const GATHER_MS = 2;

/** Timeout of a call, milliseconds. */
const CALL_TIMEOUT_MS = 250;

/** What control instances know of a service's software versions. */
export interface VersionResult {
  /** The only version; absent: there were several, or one is not known. */
  readonly version?: string;
  /** Whether all instances answered, and know the versions of all targets. */
  readonly isComplete: boolean;
  /** The highest number of a configuration that an instance holds; 0: none. */
  readonly configuration: number;
}

type Answer = controlMessage.ListSoftwareVersionsResponse | undefined;

/**
 * Every target that an entry ever used announced itself to some control instance, so all of them are asked, and asked anew:
 * what an entry knows itself, or knew before, may be out of date.
 */
export class VersionLookup {
  /** Calls that have not been made yet, by service and time. */
  private readonly pending = new Map<string, Promise<VersionResult>>();

  constructor(private readonly parts: OriginLookupParts) {}

  /** The only software version that the targets of a service had within the last `withinMs` milliseconds. */
  soleVersion(service: string, withinMs: number): Promise<VersionResult> {
    const key = JSON.stringify([service, withinMs]);
    const known = this.pending.get(key);
    if (known !== undefined) return known;
    const result = this.parts.clock.sleep(GATHER_MS).then(() => {
      this.pending.delete(key);
      return this.callAll(service, withinMs);
    });
    this.pending.set(key, result);
    return result;
  }

  private async callAll(service: string, withinMs: number): Promise<VersionResult> {
    const answers = await this.answersOf(this.parts.controls(), service, withinMs);
    const answered = answers.filter((answer) => answer !== undefined);
    const versions = new Set(answered.flatMap((answer) => answer.versions));
    const configuration = Math.max(0, ...answered.map(({ number }) => Number(number)));
    // After a loss of all instances targets are announced without their versions, until each has called an instance.
    const isComplete = answered.length > 0 && answered.length === answers.length && !versions.has('');
    const isCertain = isComplete && answered.every(({ complete }) => complete);
    const [version, ...others] = versions;
    return isCertain && others.length === 0
      ? { version, isComplete, configuration }
      : { isComplete, configuration };
  }

  /** Answers of some instances, and of those that they name: what this entry knows of control may be out of date. */
  private async answersOf(controls: readonly string[], service: string, withinMs: number): Promise<Answer[]> {
    const asked = new Set<string>();
    const answers: Answer[] = [];
    for (let next = [...controls]; next.length > 0;) {
      for (const control of next) asked.add(control);
      const round = await Promise.all(next.map((control) => this.call(control, service, withinMs)));
      answers.push(...round);
      const named = round.flatMap((answer) => answer?.controls ?? []);
      next = [...new Set(named)].filter((control) => !asked.has(control));
    }
    return answers;
  }

  private async call(control: string, service: string, withinMs: number): Promise<Answer> {
    const { peers, clock, log } = this.parts;
    const client = createClient(controlMessage.Configurations, peers.transport(control));
    try {
      const request = { service, withinMs };
      return await callWithin(clock, CALL_TIMEOUT_MS, (options) =>
        client.listSoftwareVersions(request, options),
      );
    } catch (error) {
      log.event(relayEvents.originsUnanswered, { control, service, problem: String(error) });
      return undefined;
    }
  }
}
