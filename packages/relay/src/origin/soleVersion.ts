/** The software version of a service, where all its targets have the same. */
import { createClient } from '@connectrpc/connect';
import { controlMessage } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import type { OriginLookupParts } from './originLookup.js';

/** Timeout of a call, milliseconds. */
const CALL_TIMEOUT_MS = 250;

/**
 * The only software version that the targets of a service had within the last `withinMs` milliseconds; undefined if there
 * were several, or if one may be unknown. Every target that an entry ever used announced itself to some control instance, so
 * all of them have to answer now: what an entry knows itself may be out of date.
 */
export async function soleVersion(
  parts: OriginLookupParts,
  service: string,
  withinMs: number,
): Promise<string | undefined> {
  const controls = parts.controls();
  const answers = await Promise.all(controls.map((control) => listAt(parts, control, service, withinMs)));
  if (answers.some((answer) => answer?.complete !== true)) return undefined;
  const [version, ...others] = new Set(answers.flatMap((answer) => answer?.versions ?? []));
  return others.length > 0 || version === '' ? undefined : version;
}

async function listAt(
  { peers, log }: OriginLookupParts,
  control: string,
  service: string,
  withinMs: number,
): Promise<controlMessage.ListSoftwareVersionsResponse | undefined> {
  const client = createClient(controlMessage.Configurations, peers.transport(control));
  try {
    return await client.listSoftwareVersions({ service, withinMs }, { timeoutMs: CALL_TIMEOUT_MS });
  } catch (error) {
    log.event(relayEvents.originsUnanswered, { control, service, problem: String(error) });
    return undefined;
  }
}
