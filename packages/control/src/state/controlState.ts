/** The state machine over the replicated log: decodes commands and hands them to the features. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';
import type { Registry } from '@jasmineroute/core';
import type { CommandCase, Feature, LogTime, OutcomeValue } from './feature.js';

type KnownCommand = Exclude<stateMessage.Command['command'], { case: undefined }>;
type Handler = (value: unknown, now: LogTime) => OutcomeValue;

/** Commands that change nothing. */
const QUERIES: ReadonlySet<CommandCase> = new Set(['readConfiguration']);

/** Longest step of the state's time in one command, milliseconds. */
export const MAX_STEP_MS = 2_000;

/**
 * The replicated state of a control instance. Deterministic: replicas that applied the same commands are
 * equal.
 */
export class ControlState {
  private time: LogTime = 0;
  private readonly handlers = new Map<CommandCase, Handler>();
  private isBroken = false;
  private readonly brokenListeners = new Set<() => void>();
  private readonly errorListeners = new Set<(error: unknown) => void>();
  private readonly timeListeners = new Set<() => void>();

  constructor(private readonly features: Registry<Feature>) {
    this.handle('advance', (value) => this.advance(value as stateMessage.AdvanceTime));
    for (const name of features.names()) {
      const table = Object.entries(features.get(name).handlers);
      for (const [command, handler] of table) this.handle(command as CommandCase, handler as Handler);
    }
  }

  /** The state's own time. */
  now(): LogTime {
    return this.time;
  }

  /** Whether some part waits for time to move. */
  expectsTime(): boolean {
    return this.all().some((feature) => feature.expectsTime());
  }

  /** Calls back each time the state's time has moved, also by a restored snapshot. */
  onTime(listener: () => void): void {
    this.timeListeners.add(listener);
  }

  /** Whether an entry of a newer release was met; nothing has been applied since. */
  broken(): boolean {
    return this.isBroken;
  }

  /** Calls back when an entry of a newer release was met: this replica must stop. */
  onBroken(listener: () => void): void {
    this.brokenListeners.add(listener);
  }

  /** Calls back with what a handler threw. The command then has no outcome, on all replicas alike. */
  onError(listener: (error: unknown) => void): void {
    this.errorListeners.add(listener);
  }

  /** Applies one entry of the log; never throws. */
  apply(_index: bigint, entry: Uint8Array): Uint8Array {
    const commands = this.isBroken ? [] : this.decode(entry);
    const outcomes = commands.map((command) => ({ outcome: this.run(command) }));
    return toBinary(stateMessage.OutcomeBatchSchema, create(stateMessage.OutcomeBatchSchema, { outcomes }));
  }

  /** Answers commands that change nothing from the state as it is; never throws. */
  query(batch: Uint8Array): Uint8Array {
    const commands = readBatch(batch) ?? [];
    const answered = commands.filter((command) => QUERIES.has(command.case));
    const outcomes = answered.map((command) => ({ outcome: this.run(command) }));
    return toBinary(stateMessage.OutcomeBatchSchema, create(stateMessage.OutcomeBatchSchema, { outcomes }));
  }

  /**
   * The whole state.
   * @throws Error when broken: the log would take the entries that were not applied for part of the snapshot,
   * drop them, and after an upgrade they would be missing for good.
   */
  snapshot(): Uint8Array {
    if (this.isBroken) throw new Error('the log holds a command of a newer release');
    const features = this.features
      .names()
      .map((name) => ({ name, data: this.features.get(name).snapshot() }));
    const snapshot = create(stateMessage.StateSnapshotSchema, { timeMs: BigInt(this.time), features });
    return toBinary(stateMessage.StateSnapshotSchema, snapshot);
  }

  /** Replaces the whole state. @throws Error when the snapshot holds a feature of a newer release. */
  restore(data: Uint8Array): void {
    const snapshot = fromBinary(stateMessage.StateSnapshotSchema, data);
    this.time = Number(snapshot.timeMs);
    for (const { name, data: part } of snapshot.features) this.features.get(name).restore(part, this.time);
    this.announceTime();
  }

  private handle(command: CommandCase, handler: Handler): void {
    if (this.handlers.has(command)) throw new Error(`command "${command}" has two handlers`);
    this.handlers.set(command, handler);
  }

  /**
   * A replica that skipped what its newer peers apply would part from them, and nobody would notice. So at
   * the first entry that it can't read it applies no more, and whoever listens takes it out of service.
   */
  private decode(entry: Uint8Array): KnownCommand[] {
    const commands = readBatch(entry);
    if (commands !== undefined) return commands;
    this.isBroken = true;
    for (const listener of this.brokenListeners) listener();
    return [];
  }

  private run(command: KnownCommand): OutcomeValue | undefined {
    try {
      return this.handlers.get(command.case)?.(command.value, this.time);
    } catch (error) {
      for (const listener of this.errorListeners) listener(error);
      return undefined;
    }
  }

  /**
   * Moves time on. Two leaders that both count the same stretch must not add it twice, or leases would end
   * before their holders think so: only the one that starts from the current time has an effect.
   */
  private advance(value: stateMessage.AdvanceTime): OutcomeValue {
    if (Number(value.fromMs) === this.time) {
      this.time += Math.min(value.stepMs, MAX_STEP_MS);
      for (const feature of this.all()) feature.advanced(this.time);
      this.announceTime();
    }
    return { case: 'advance', value: { timeMs: BigInt(this.time) } };
  }

  private all(): Feature[] {
    return this.features.names().map((name) => this.features.get(name));
  }

  private announceTime(): void {
    for (const listener of this.timeListeners) listener();
  }
}

/** The commands of an entry; undefined when one of them is not known to this release. */
function readBatch(entry: Uint8Array): KnownCommand[] | undefined {
  try {
    const commands = fromBinary(stateMessage.CommandBatchSchema, entry).commands.map(
      ({ command }) => command,
    );
    return commands.every((command) => command.case !== undefined) ? commands : undefined;
  } catch {
    return undefined;
  }
}
