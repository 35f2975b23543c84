/** The state machine over the replicated log: decodes commands and dispatches them to the features. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';
import type { Registry } from '@jasmineroute/core';
import type { CommandCase, Feature, LogTime, OutcomeValue } from './feature.js';

type KnownCommand = Exclude<stateMessage.Command['command'], { case: undefined }>;
type Handler = (value: unknown, now: LogTime) => OutcomeValue;

/** Commands that only read. */
const QUERIES: ReadonlySet<CommandCase> = new Set(['readConfiguration']);

/** Largest step of the log time in one command, milliseconds. */
export const MAX_STEP_MS = 2_000;

/**
 * The replicated state of a control instance. Deterministic: replicas that applied the same commands have equal
 * states.
 */
export class ControlState {
  private time: LogTime = 0;
  private readonly handlers = new Map<CommandCase, Handler>();
  private isBroken = false;
  private readonly brokenListeners = new Set<() => void>();
  private readonly errorListeners = new Set<(error: unknown) => void>();
  private readonly timeListeners = new Set<() => void>();

  constructor(private readonly features: Registry<Feature>) {
    this.registerHandler('advance', (value) => this.advance(value as stateMessage.AdvanceTime));
    for (const name of features.names()) {
      const table = Object.entries(features.get(name).handlers);
      for (const [command, handler] of table)
        this.registerHandler(command as CommandCase, handler as Handler);
    }
  }

  /** The log time. */
  now(): LogTime {
    return this.time;
  }

  /** Whether any feature needs the log time to advance. */
  hasPendingExpiry(): boolean {
    return this.allFeatures().some((feature) => feature.hasPendingExpiry());
  }

  /** Calls back each time the log time has advanced or a snapshot has been restored. */
  onTime(listener: () => void): void {
    this.timeListeners.add(listener);
  }

  /** Whether the log held an entry that this release can't decode; no entry has been applied since. */
  isHalted(): boolean {
    return this.isBroken;
  }

  /** Calls back when the log holds an entry that this release can't decode: this replica must stop. */
  onHalted(listener: () => void): void {
    this.brokenListeners.add(listener);
  }

  /** Calls back with the error that a handler threw. The command then has no outcome, on every replica. */
  onError(listener: (error: unknown) => void): void {
    this.errorListeners.add(listener);
  }

  /** Applies one entry of the log; never throws. */
  apply(_index: bigint, entry: Uint8Array): Uint8Array {
    const commands = this.isBroken ? [] : this.decodeOrHalt(entry);
    const outcomes = commands.map((command) => ({ outcome: this.run(command) }));
    return toBinary(stateMessage.OutcomeBatchSchema, create(stateMessage.OutcomeBatchSchema, { outcomes }));
  }

  /** Runs the read-only commands of a batch on the current state and ignores all others; never throws. */
  query(batch: Uint8Array): Uint8Array {
    const commands = decodeBatch(batch) ?? [];
    const answered = commands.filter((command) => QUERIES.has(command.case));
    const outcomes = answered.map((command) => ({ outcome: this.run(command) }));
    return toBinary(stateMessage.OutcomeBatchSchema, create(stateMessage.OutcomeBatchSchema, { outcomes }));
  }

  /**
   * The whole state, encoded.
   * @throws Error when an entry could not be decoded: the log would treat the entries that were not applied as part of
   * the snapshot and drop them, so they would still be missing after an upgrade.
   */
  snapshot(): Uint8Array {
    if (this.isBroken) throw new Error('no snapshot: the log holds a command of a newer release');
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
    for (const { name, data: featureData } of snapshot.features)
      this.features.get(name).restore(featureData, this.time);
    this.notifyTimeListeners();
  }

  private registerHandler(command: CommandCase, handler: Handler): void {
    if (this.handlers.has(command)) throw new Error(`command "${command}" has two handlers`);
    this.handlers.set(command, handler);
  }

  /**
   * A replica that skipped a command that its newer peers apply would diverge from them unnoticed. So from the first
   * entry that it can't decode on it applies nothing, and the listeners take it out of service.
   */
  private decodeOrHalt(entry: Uint8Array): KnownCommand[] {
    const commands = decodeBatch(entry);
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
   * Advances the log time. Two leaders that both measure the same interval must not add it twice, or leases would
   * expire before their holders expect it: only a step that starts from the current log time takes effect.
   */
  private advance(value: stateMessage.AdvanceTime): OutcomeValue {
    if (Number(value.fromMs) === this.time) {
      this.time += Math.min(value.stepMs, MAX_STEP_MS);
      for (const feature of this.allFeatures()) feature.advanceTo(this.time);
      this.notifyTimeListeners();
    }
    return { case: 'advance', value: { timeMs: BigInt(this.time) } };
  }

  private allFeatures(): Feature[] {
    return this.features.names().map((name) => this.features.get(name));
  }

  private notifyTimeListeners(): void {
    for (const listener of this.timeListeners) listener();
  }
}

/** The commands of an entry; undefined when this release doesn't know one of them. */
function decodeBatch(entry: Uint8Array): KnownCommand[] | undefined {
  try {
    const commands = fromBinary(stateMessage.CommandBatchSchema, entry).commands.map(
      ({ command }) => command,
    );
    return commands.every((command) => command.case !== undefined) ? commands : undefined;
  } catch {
    return undefined;
  }
}
