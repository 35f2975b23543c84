/**
 * One replicated register per key, decided by ballots as in CASPaxos, only for comparison with the log. There is no
 * leader: a proposer asks a quorum to promise its ballot, then to accept its value. A proposer that has just changed a
 * key can reuse the promise for its next change of that key and skip the first round.
 */
import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { fileDisk, delayedDisk, LogStorage } from '../storage/index.js';
import {
  Agreement,
  EntryKind,
  EntrySchema,
  ProposeRequestSchema,
  ProposeResponseSchema,
} from '../gen/agreement/agreement_pb.js';
import { Mutex } from '../agreement/signal.js';
import type { LoopbackConnections } from '../loopback/index.js';

/** Prepare or accept request to an acceptor. */
interface AcceptorRequest {
  readonly kind: 'prepare' | 'accept';
  readonly key: string;
  readonly ballot: number;
  readonly value: string;
}

/** Response of an acceptor. */
interface AcceptorResponse {
  readonly granted: boolean;
  readonly ballot: number;
  readonly value: string;
}

interface Register {
  promised: number;
  accepted: number;
  value: string;
}

/** One acceptor, which syncs each request to disk before it responds. */
export class Acceptor {
  private readonly registers = new Map<string, Register>();
  private readonly mutex = new Mutex();
  private index = 0n;

  constructor(private readonly storage: LogStorage) {}

  static async open(folder: string, syncMs: number): Promise<Acceptor> {
    const opened = await LogStorage.open(delayedDisk(fileDisk, syncMs), folder);
    return new Acceptor(opened._unsafeUnwrap().storage);
  }

  routes(router: ConnectRouter): void {
    router.service(Agreement, {
      propose: async ({ command }) => {
        const response = await this.handle(JSON.parse(Buffer.from(command).toString()) as AcceptorRequest);
        return create(ProposeResponseSchema, { result: Buffer.from(JSON.stringify(response)) });
      },
    });
  }

  async handle(request: AcceptorRequest): Promise<AcceptorResponse> {
    const register = this.registers.get(request.key) ?? { promised: 0, accepted: 0, value: '' };
    this.registers.set(request.key, register);
    const { ballot, kind } = request;
    if (ballot < register.promised) return { granted: false, ballot: register.promised, value: '' };
    const before = { granted: true, ballot: register.accepted, value: register.value };
    register.promised = ballot;
    if (kind === 'accept') Object.assign(register, { accepted: ballot, value: request.value });
    await this.persist(request);
    return before;
  }

  close(): Promise<void> {
    return this.storage.close();
  }

  private async persist(request: AcceptorRequest): Promise<void> {
    await this.mutex.run(async () => {
      this.index += 1n;
      const command = Buffer.from(JSON.stringify(request));
      const entry = create(EntrySchema, { index: this.index, term: 1n, kind: EntryKind.COMMAND, command });
      (await this.storage.write([entry]))._unsafeUnwrap();
    });
    (await this.storage.sync())._unsafeUnwrap();
  }
}

/** Changes keys with the consent of a quorum of acceptors. */
export class Proposer {
  private readonly ballots = new Map<string, number>();

  constructor(
    private readonly localAcceptor: Acceptor,
    private readonly others: readonly string[],
    private readonly connections: LoopbackConnections,
    private readonly reusesPromises: boolean,
  ) {}

  /** Sets a key. @throws Error when an acceptor has promised a higher ballot. */
  async change(key: string, value: string): Promise<void> {
    const known = this.ballots.get(key);
    const ballot = (known ?? 0) + 1;
    this.ballots.set(key, ballot);
    const hasPromise = this.reusesPromises && known !== undefined;
    if (!hasPromise) await this.broadcast({ kind: 'prepare', key, ballot, value: '' });
    await this.broadcast({ kind: 'accept', key, ballot, value });
  }

  /** Sends a request to all acceptors. Resolves once a quorum has granted it. */
  private broadcast(request: AcceptorRequest): Promise<void> {
    const needed = Math.floor((this.others.length + 1) / 2) + 1;
    return new Promise((resolve, reject) => {
      let granted = 0;
      const count = (response: AcceptorResponse): void => {
        if (!response.granted) reject(new Error('an acceptor has promised a higher ballot'));
        granted += 1;
        if (granted === needed) resolve();
      };
      void this.localAcceptor.handle(request).then(count);
      for (const address of this.others) void this.send(address, request).then(count, reject);
    });
  }

  private async send(address: string, request: AcceptorRequest): Promise<AcceptorResponse> {
    const client = createClient(Agreement, this.connections.connect(address));
    const command = Buffer.from(JSON.stringify(request));
    const { result } = await client.propose(create(ProposeRequestSchema, { command }));
    return JSON.parse(Buffer.from(result).toString()) as AcceptorResponse;
  }
}
