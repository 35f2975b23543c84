/**
 * A register for each key, agreed on by ballots (as CASPaxos has it), only to be measured against the log: no
 * leader; whoever changes a key asks a quorum for a promise, then to accept. A proposer that has just won keeps
 * the promise for its next change of the key and saves the first round.
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

/** What an acceptor is asked. */
interface Question {
  readonly kind: 'prepare' | 'accept';
  readonly key: string;
  readonly ballot: number;
  readonly value: string;
}

/** What it answers. */
interface Answer {
  readonly granted: boolean;
  readonly ballot: number;
  readonly value: string;
}

interface Cell {
  promised: number;
  accepted: number;
  value: string;
}

/** One acceptor, synced before it answers. */
export class Acceptor {
  private readonly cells = new Map<string, Cell>();
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
        const answer = await this.answer(JSON.parse(Buffer.from(command).toString()) as Question);
        return create(ProposeResponseSchema, { result: Buffer.from(JSON.stringify(answer)) });
      },
    });
  }

  async answer(question: Question): Promise<Answer> {
    const cell = this.cells.get(question.key) ?? { promised: 0, accepted: 0, value: '' };
    this.cells.set(question.key, cell);
    const { ballot, kind } = question;
    if (ballot < cell.promised) return { granted: false, ballot: cell.promised, value: '' };
    const before = { granted: true, ballot: cell.accepted, value: cell.value };
    cell.promised = ballot;
    if (kind === 'accept') Object.assign(cell, { accepted: ballot, value: question.value });
    await this.keep(question);
    return before;
  }

  close(): Promise<void> {
    return this.storage.close();
  }

  private async keep(question: Question): Promise<void> {
    await this.mutex.run(async () => {
      this.index += 1n;
      const command = Buffer.from(JSON.stringify(question));
      const entry = create(EntrySchema, { index: this.index, term: 1n, kind: EntryKind.COMMAND, command });
      (await this.storage.write([entry]))._unsafeUnwrap();
    });
    (await this.storage.sync())._unsafeUnwrap();
  }
}

/** Changes keys over all acceptors. */
export class Proposer {
  private readonly ballots = new Map<string, number>();

  constructor(
    private readonly own: Acceptor,
    private readonly others: readonly string[],
    private readonly connections: LoopbackConnections,
    private readonly keepsPromises: boolean,
  ) {}

  /** Sets a key. @throws Error when another proposer was faster. */
  async change(key: string, value: string): Promise<void> {
    const known = this.ballots.get(key);
    const ballot = (known ?? 0) + 1;
    this.ballots.set(key, ballot);
    const hasPromise = this.keepsPromises && known !== undefined;
    if (!hasPromise) await this.ask({ kind: 'prepare', key, ballot, value: '' });
    await this.ask({ kind: 'accept', key, ballot, value });
  }

  /** Resolves at a quorum of consents. */
  private ask(question: Question): Promise<void> {
    const needed = Math.floor((this.others.length + 1) / 2) + 1;
    return new Promise((resolve, reject) => {
      let granted = 0;
      const count = (answer: Answer): void => {
        if (!answer.granted) reject(new Error('a higher ballot was promised'));
        granted += 1;
        if (granted === needed) resolve();
      };
      void this.own.answer(question).then(count);
      for (const address of this.others) void this.askOne(address, question).then(count, reject);
    });
  }

  private async askOne(address: string, question: Question): Promise<Answer> {
    const client = createClient(Agreement, this.connections.connect(address));
    const command = Buffer.from(JSON.stringify(question));
    const { result } = await client.propose(create(ProposeRequestSchema, { command }));
    return JSON.parse(Buffer.from(result).toString()) as Answer;
  }
}
