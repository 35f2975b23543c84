/** The status report for operators: the system as control instances know it. */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { instanceToMessage } from '@jasmineroute/directory';
import type { Membership } from '@jasmineroute/directory';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { DocumentState } from '../documents/index.js';
import type { CommandLog, LogReplica } from '../log/index.js';

/** Longest wait for another control instance's status, milliseconds. */
const PEER_TIMEOUT_MS = 1_000;

/** Sources of the report. */
export interface StatusSources {
  /** Name of this control instance. */
  readonly name: string;
  readonly peers: Peers;
  readonly state: DocumentState;
  readonly log: CommandLog;
  readonly members: Pick<Membership, 'reported'>;
}

/** Revision, replicas, instances with their revisions, and documents without texts, as this control instance knows them. */
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
 * The local status, with the newest revision of each instance that any control instance knows. An instance reports its
 * revision only to the control instance that receives its heartbeats: passing each report on would cost every control
 * instance a message for each instance and change.
 */
export async function clusterStatus(sources: StatusSources): Promise<controlMessage.StatusResponse> {
  const own = await localStatus(sources);
  const others = own.replicas.filter(({ name, state }) => name !== sources.name && state !== 'unreachable');
  const perReplica = await Promise.all(others.map(({ address }) => instancesKnownTo(sources.peers, address)));
  const newest = new Map<string, bigint>();
  for (const instance of perReplica.flat()) {
    const known = newest.get(instanceKey(instance)) ?? 0n;
    if (instance.revision > known) newest.set(instanceKey(instance), instance.revision);
  }
  for (const instance of own.instances) {
    const newestRevision = newest.get(instanceKey(instance)) ?? 0n;
    if (newestRevision > instance.revision) instance.revision = newestRevision;
  }
  return own;
}

/** Includes the incarnation: the revision of an earlier start of a process doesn't apply to a later one. */
function instanceKey({ name, incarnation }: controlMessage.Instance): string {
  return `${name}/${incarnation.toString()}`;
}

/** Instances as the control instance at an address knows them; empty when it does not answer. */
async function instancesKnownTo(peers: Peers, address: string): Promise<controlMessage.Instance[]> {
  const client = createClient(controlMessage.Documents, peers.transport(address));
  try {
    const answer = await client.status({ local: true }, { timeoutMs: PEER_TIMEOUT_MS });
    return answer.instances;
  } catch {
    return [];
  }
}

/** States that are meaningful only while the replica is in touch with a quorum. */
const STATES_NEEDING_QUORUM = new Set(['leader', 'follower', 'candidate']);

function stateOf({ reachable, vouched, state, storageFailure = '' }: LogReplica): string {
  if (!reachable) return 'unreachable';
  const contact = !vouched && STATES_NEEDING_QUORUM.has(state) ? 'isolated' : state;
  return storageFailure === '' ? contact : `${contact}, storage fails`;
}
