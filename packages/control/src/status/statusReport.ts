/** The whole state of the system as one control instance knows it, for operators. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { instanceToMessage } from '@jasmineroute/directory';
import type { Membership } from '@jasmineroute/directory';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { DocumentState } from '../documents/index.js';
import type { CommandLog, LogReplica } from '../log/index.js';

/** Longest wait for another control instance's part. */
const PEER_TIMEOUT_MS = 1_000;

/** Where the report's parts come from. */
export interface StatusSources {
  /** Name of this control instance. */
  readonly name: string;
  readonly peers: Peers;
  readonly state: DocumentState;
  readonly log: CommandLog;
  readonly members: Pick<Membership, 'reported'>;
}

/** Revision, replicas, instances with what they have in force, documents without texts; as known here. */
export async function localStatus(sources: StatusSources): Promise<controlMessage.StatusResponse> {
  const { state, log, members } = sources;
  const replicas = await log.replicas();
  const rows = replicas.map((replica) => ({ ...replica, state: stateOf(replica) }));
  const newest = state.services().flatMap((service) => state.versions(service).slice(0, 1));
  return create(controlMessage.StatusResponseSchema, {
    revision: state.revision(),
    vouched: log.status().vouched,
    replicas: rows,
    instances: members.reported().map((instance) => instanceToMessage(instance)),
    documents: newest.map((version) => ({ ...version, text: '' })),
  });
}

/**
 * The same with the newest revision that any control instance heard of each instance. An instance tells its
 * revision only to the control instance that it sends its heartbeats to: passing every one on would cost each
 * control instance a message for each instance and change.
 */
export async function wholeStatus(sources: StatusSources): Promise<controlMessage.StatusResponse> {
  const own = await localStatus(sources);
  const others = own.replicas.filter(({ name, state }) => name !== sources.name && state !== 'unreachable');
  const heard = await Promise.all(others.map(({ address }) => heardAt(sources.peers, address)));
  const newest = new Map<string, bigint>();
  for (const instance of heard.flat()) {
    const known = newest.get(keyOf(instance)) ?? 0n;
    if (instance.revision > known) newest.set(keyOf(instance), instance.revision);
  }
  for (const instance of own.instances) {
    const elsewhere = newest.get(keyOf(instance)) ?? 0n;
    if (elsewhere > instance.revision) instance.revision = elsewhere;
  }
  return own;
}

/** An earlier start of a process says nothing of what a later one has in force. */
function keyOf({ name, incarnation }: controlMessage.Instance): string {
  return `${name}/${incarnation.toString()}`;
}

/** Instances as another control instance knows them; none when it does not answer. */
async function heardAt(peers: Peers, address: string): Promise<controlMessage.Instance[]> {
  const client = createClient(controlMessage.Documents, peers.transport(address));
  try {
    const answer = await client.status({ local: true }, { timeoutMs: PEER_TIMEOUT_MS });
    return answer.instances;
  } catch {
    return [];
  }
}

/** Roles that say nothing without the contact that goes with them. */
const ROLES_IN_CONTACT = new Set(['leader', 'follower', 'candidate']);

function stateOf({ reachable, vouched, state }: LogReplica): string {
  if (!reachable) return 'unreachable';
  return !vouched && ROLES_IN_CONTACT.has(state) ? 'isolated' : state;
}
