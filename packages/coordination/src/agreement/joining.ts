/** Founding a cluster, and joining one with an empty disk. */
import { create } from '@bufbuild/protobuf';
import { newId } from '@jasmineroute/core';
import { coordinationEvents } from '../events.js';
import {
  EntryKind,
  EntrySchema,
  JoinRequestSchema,
  JoinResponseSchema,
} from '../gen/agreement/agreement_pb.js';
import type { Configuration, JoinRequest, JoinResponse, Voter } from '../gen/agreement/agreement_pb.js';
import { configurationOf, isVoter } from './configuration.js';
import type { ReplicaAddress } from './options.js';
import type { CallOptions, PeerClient } from './peerClient.js';
import type { Replica } from './replica.js';
import { WITHOUT_DISK } from './withoutDisk.js';

/** Term of the first entry of a cluster; elections use later terms. */
const FOUNDING_TERM = 1n;

/** Status of a replica, included in join answers. */
export type Report = Pick<
  JoinResponse,
  'state' | 'term' | 'commitIndex' | 'lastApplied' | 'vouched' | 'storageFailure'
>;

const sortedNames = (members: readonly { name: string }[]): string =>
  members
    .map(({ name }) => name)
    .sort()
    .join(' ');

/** Names of the processes that answered that they have no disk. */
const namesWithoutDisk = (answers: readonly (JoinResponse | undefined)[]): string[] =>
  answers.flatMap((answer) => (answer?.state === WITHOUT_DISK ? [answer.replica?.name ?? ''] : []));

/** Joins a replica to a cluster, or founds one. */
export class Joining {
  constructor(
    private readonly replica: Replica,
    private readonly peers: PeerClient,
    private readonly initialReplicas: readonly ReplicaAddress[],
    private readonly report: () => Report,
  ) {}

  /**
   * Tries to join or found a cluster until the replica belongs to one. A cluster is founded only when all its initial replicas
   * answer and all are empty or have no disk: an absent one could hold the log of an older cluster, whose committed commands
   * would be lost. Only the replica with the lowest name founds a cluster, so that there is only one.
   */
  async run(): Promise<void> {
    const { replica } = this;
    while (!replica.stopped && replica.clusterId === '') {
      const answers = await this.identifyAll();
      await this.joinOrFound(answers);
      await replica.changed.waitFor(replica.clock, replica.tuning.joinMs);
    }
  }

  /** Answers with the identity, cluster and status of this replica; accepts a first configuration that contains it. */
  async answer(request: JoinRequest): Promise<JoinResponse> {
    const { replica } = this;
    const accepted = request.first !== undefined && (await this.acceptConfiguration(request.first));
    const configuration =
      replica.configuration ??
      (replica.clusterId === '' ? undefined : configurationOf(replica.clusterId, [], []));
    const lastIndex = replica.entries.last.index;
    return create(JoinResponseSchema, {
      replica: replica.self,
      configuration,
      accepted,
      lastIndex,
      ...this.report(),
    });
  }

  /** Queries identity and status of the replica at an address; undefined without an answer. */
  async identify(
    address: string,
    first?: Configuration,
    options: CallOptions = {},
  ): Promise<JoinResponse | undefined> {
    const { replica } = this;
    const request = create(JoinRequestSchema, { replica: replica.self, first });
    const answer = await this.peers.call(
      address,
      (client, signal) => client.join(request, { signal }),
      options,
    );
    return answer.unwrapOr(undefined);
  }

  private identifyAll(): Promise<(JoinResponse | undefined)[]> {
    const others = this.initialReplicas.filter(({ name }) => name !== this.replica.name);
    return Promise.all(others.map(({ address }) => this.identify(address)));
  }

  private async joinOrFound(answers: readonly (JoinResponse | undefined)[]): Promise<void> {
    const configuration = answers.find((answer) => answer?.configuration !== undefined)?.configuration;
    if (configuration !== undefined) {
      await this.acceptConfiguration(configuration);
      return;
    }
    const withDisk = answers.filter((answer) => answer?.state !== WITHOUT_DISK);
    const others = withDisk.map((answer) => answer?.replica).filter((other) => other !== undefined);
    const members = [this.replica.self, ...others];
    const expected = this.initialReplicas.filter(({ name }) => !namesWithoutDisk(answers).includes(name));
    const isComplete = sortedNames(members) === sortedNames(expected);
    const lowest = expected.map(({ name }) => name).sort()[0];
    if (isComplete && lowest === this.replica.name) await this.foundCluster(members);
  }

  /**
   * Joins the cluster of a configuration in which this replica id is a voter. The name alone is not enough: a replica with an
   * empty disk would take over the vote of the lost one of the same name.
   */
  private async acceptConfiguration(configuration: Configuration): Promise<boolean> {
    const { replica } = this;
    return replica.exclusive(async () => {
      if (replica.clusterId !== '') return replica.clusterId === configuration.clusterId;
      if (!isVoter(configuration, replica.id)) return false;
      return (await replica.adoptCluster(configuration.clusterId)).isOk();
    });
  }

  /**
   * Founds a cluster. The first entry is synced before other replicas receive the configuration, so that a founder that
   * crashes continues with the same cluster.
   */
  private async foundCluster(members: readonly Voter[]): Promise<void> {
    const { replica } = this;
    const configuration = configurationOf(newId('cluster'), members, []);
    const isFounded = await replica.exclusive(() => this.writeFirstEntry(configuration));
    if (!isFounded) return;
    replica.log.event(coordinationEvents.founded, { cluster: configuration.clusterId });
    await Promise.all(replica.others.map(({ address }) => this.identify(address, configuration)));
  }

  private async writeFirstEntry(configuration: Configuration): Promise<boolean> {
    const { replica } = this;
    if (replica.clusterId !== '' || replica.entries.last.index > 0n) return false;
    const entry = create(EntrySchema, {
      index: 1n,
      term: FOUNDING_TERM,
      kind: EntryKind.CONFIGURATION,
      configuration,
    });
    const written = await replica.appendEntries([entry]);
    if (written.isErr() || (await replica.syncEntries(1n)).isErr()) return false;
    const saved = await replica.saveState({ clusterId: configuration.clusterId, term: FOUNDING_TERM });
    return saved.isOk();
  }
}
