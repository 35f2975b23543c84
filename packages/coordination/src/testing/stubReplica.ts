/** Replica with responses that a test controls. */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import {
  Agreement,
  AppendResponseSchema,
  JoinResponseSchema,
  VoteResponseSchema,
} from '../gen/agreement/agreement_pb.js';
import type { AppendRequest } from '../gen/agreement/agreement_pb.js';
import { voter } from '../agreement/configuration.js';
import type { MemoryNetwork } from './memoryNetwork.js';

/** Grants every vote and accepts all entries, up to a limit. Its address is its name. */
export class StubReplica {
  /** Index of the last entry that it reports as synced. */
  syncedLimit = 1_000_000n;
  /** Whether it responds to calls. */
  answers = true;
  /** Append requests that it received. */
  readonly appended: AppendRequest[] = [];

  constructor(
    readonly name: string,
    network: MemoryNetwork,
    private readonly replicaId = `stub-${name}`,
  ) {
    network.serve(name, (router) => {
      router.service(Agreement, {
        join: () =>
          this.answer(
            create(JoinResponseSchema, { replica: voter(name, name, this.replicaId), accepted: true }),
          ),
        vote: ({ term }) =>
          this.answer(create(VoteResponseSchema, { term, granted: true, replicaId: this.replicaId })),
        append: (request) => this.append(request),
      });
    });
  }

  private append(request: AppendRequest): Promise<ReturnType<typeof this.appendResponse>> {
    this.appended.push(request);
    return this.answer(this.appendResponse(request));
  }

  private appendResponse(request: AppendRequest) {
    const end = request.previousIndex + BigInt(request.entries.length);
    const matchIndex = end < this.syncedLimit ? end : this.syncedLimit;
    return create(AppendResponseSchema, {
      term: request.term,
      success: true,
      matchIndex,
      replicaId: this.replicaId,
    });
  }

  private answer<T>(message: T): Promise<T> {
    if (!this.answers) throw new ConnectError('no answer', Code.Unavailable);
    return Promise.resolve(message);
  }
}
