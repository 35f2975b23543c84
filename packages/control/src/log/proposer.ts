/** Proposes commands to the log in batches. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { stateMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandCase, CommandValue } from '../state/index.js';
import type { CommandLog } from './commandLog.js';

/** A command before it is encoded. */
export type CommandInit = NonNullable<MessageInitShape<typeof stateMessage.CommandSchema>['command']>;

type OutcomeUnion = stateMessage.Outcome['outcome'];
type OutcomeOf<C extends CommandCase> = Extract<OutcomeUnion, { case: C }>['value'];
/** Fields of a command before it is encoded. */
export type CommandFields<C extends CommandCase> = Extract<CommandInit, { case: C }>['value'];

interface PendingCommand {
  /** The encoded command. */
  readonly command: Uint8Array;
  readonly settle: (result: Result<OutcomeUnion, Fault>) => void;
}

/** Limits of the proposer. */
export interface ProposerLimits {
  /** Maximum number of batches in flight. */
  readonly inFlight: number;
  /** Maximum number of commands in one batch. */
  readonly batch: number;
  /** Maximum bytes of commands in one batch; a longer command gets a batch of its own. */
  readonly batchBytes: number;
  /** Maximum bytes of waiting commands; further ones are refused as overload. */
  readonly waitingBytes: number;
  /** Timeout of a batch, milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Batches commands: while fewer batches than the limit are in flight, a command is sent at once; otherwise it joins the
 * next batch. So a single command is not delayed, and many share one round trip and one disk sync.
 */
export class Proposer {
  private waiting: PendingCommand[] = [];
  private waitingBytes = 0;
  private readonly idleListeners = new Set<() => void>();
  private inFlight = 0;

  constructor(
    private readonly log: CommandLog,
    private readonly limits: ProposerLimits,
  ) {}

  /** Proposes one command and resolves with its outcome, once a quorum holds it. */
  async propose<C extends CommandCase>(
    name: C,
    value: CommandFields<C> | CommandValue<C>,
  ): Promise<Result<OutcomeOf<C>, Fault>> {
    const command = encode({ case: name, value } as CommandInit);
    if (this.waitingBytes + command.byteLength > this.limits.waitingBytes) {
      return err(fault('overloaded', 'too many commands wait'));
    }
    const outcome = await new Promise<Result<OutcomeUnion, Fault>>((settle) => {
      this.waiting.push({ command, settle });
      this.waitingBytes += command.byteLength;
      this.sendBatches();
    });
    return outcome.andThen((union) => outcomeValue(name, union));
  }

  /** Answers a read-only command. It does not wait for batches. */
  async query<C extends CommandCase>(name: C, value: CommandFields<C>): Promise<Result<OutcomeOf<C>, Fault>> {
    const batch = encodeBatch([encode({ case: name, value } as CommandInit)]);
    const answer = await this.log.query(batch, this.limits.timeoutMs);
    return answer
      .andThen((outcomes) => outcomeAt(decodeOutcomes(outcomes), 0))
      .andThen((union) => outcomeValue(name, union));
  }

  /** Resolves when no command is waiting or in flight. */
  async idle(): Promise<void> {
    if (this.inFlight === 0 && this.waiting.length === 0) return;
    await new Promise<void>((resolve) => this.idleListeners.add(resolve));
  }

  private sendBatches(): void {
    while (this.inFlight < this.limits.inFlight && this.waiting.length > 0) {
      const batch = this.takeBatch();
      this.inFlight += 1;
      void this.run(batch);
    }
  }

  private takeBatch(): PendingCommand[] {
    const { batch, batchBytes } = this.limits;
    let bytes = 0;
    const end = this.waiting.findIndex(({ command }, position) => {
      bytes += command.byteLength;
      return position === batch || (position > 0 && bytes > batchBytes);
    });
    const taken = end === -1 ? this.waiting : this.waiting.slice(0, end);
    this.waiting = end === -1 ? [] : this.waiting.slice(end);
    for (const { command } of taken) this.waitingBytes -= command.byteLength;
    return taken;
  }

  private async run(batch: PendingCommand[]): Promise<void> {
    const outcomes = await this.proposeBatch(batch.map(({ command }) => command));
    this.inFlight -= 1;
    for (const [position, { settle }] of batch.entries()) {
      settle(outcomes.andThen((list) => outcomeAt(list, position)));
    }
    this.sendBatches();
    if (this.inFlight === 0) this.notifyIdleListeners();
  }

  private notifyIdleListeners(): void {
    const listeners = [...this.idleListeners];
    this.idleListeners.clear();
    for (const listener of listeners) listener();
  }

  private async proposeBatch(commands: readonly Uint8Array[]): Promise<Result<OutcomeUnion[], Fault>> {
    const result = await this.log.propose(encodeBatch(commands), this.limits.timeoutMs);
    return result.map(decodeOutcomes);
  }
}

function encode(command: CommandInit): Uint8Array {
  return toBinary(stateMessage.CommandSchema, create(stateMessage.CommandSchema, { command }));
}

/** Encodes a `CommandBatch` of commands that are encoded already. */
function encodeBatch(commands: readonly Uint8Array[]): Uint8Array {
  const { number } = stateMessage.CommandBatchSchema.field.commands;
  const writer = new BinaryWriter();
  for (const command of commands) writer.tag(number, WireType.LengthDelimited).bytes(command);
  return writer.finish();
}

function decodeOutcomes(answer: Uint8Array): OutcomeUnion[] {
  return fromBinary(stateMessage.OutcomeBatchSchema, answer).outcomes.map(({ outcome }) => outcome);
}

function outcomeValue<C extends CommandCase>(name: C, union: OutcomeUnion): Result<OutcomeOf<C>, Fault> {
  if (union.case !== name)
    return err(fault('internal', `outcome "${String(union.case)}" for command "${name}"`));
  return ok(union.value as OutcomeOf<C>);
}

function outcomeAt(outcomes: OutcomeUnion[], position: number): Result<OutcomeUnion, Fault> {
  const outcome = outcomes[position];
  if (outcome === undefined) return err(fault('internal', 'an outcome is missing'));
  return ok(outcome);
}
