/** The documents as replicated state: compare-and-set on versions, deduplication by apply id, history. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';
import type { CommandHandlers, Feature } from '../state/index.js';
import { AppliedIds } from './appliedIds.js';
import { withVersion } from './documentRecord.js';

type Outcome = stateMessage.ApplyOutcome['outcome'];

/** Outcomes that decide a change; it is not proposed again. */
export type FinalOutcome = Exclude<Outcome, { case: 'staleRevision' } | { case: undefined }>;

/**
 * Outcomes that are remembered for resends. Rejections are not: callers without a valid key could evict the outcomes of
 * operators.
 */
const REMEMBERED_OUTCOMES = new Set<Outcome['case']>(['accepted', 'conflict']);

/** A precondition of a change: returns an outcome when the change must not be accepted. */
type Guard = (
  command: stateMessage.ApplyDocument,
  record: stateMessage.DocumentRecord | undefined,
) => Outcome | undefined;

/**
 * The proposer parses and checks texts; the state machine never does, because a parser that differs between releases
 * would make replicas of two releases diverge. The command carries the data on which the guards depend.
 */
export class DocumentState implements Feature {
  private currentRevision = 0n;
  private sharedRevision = 0n;
  private records = new Map<string, stateMessage.DocumentRecord>();
  private readonly applied = new AppliedIds();
  private readonly listeners = new Set<() => void>();

  /** In order: the first one that returns an outcome decides. */
  private readonly guards: readonly Guard[] = [
    (command, record) => rejectNonOwner(command, record),
    (command, record) => rejectStaleBase(command, record),
    (command, record) => this.requireRecheck(command, record),
  ];

  readonly handlers: CommandHandlers = {
    apply: (command) => ({ case: 'apply', value: this.apply(command) }),
    barrier: () => ({ case: 'barrier', value: { revision: this.currentRevision } }),
  };

  /** Number of accepted changes of all services. */
  revision(): bigint {
    return this.currentRevision;
  }

  services(): string[] {
    return [...this.records.keys()].sort();
  }

  /** Versions of a service, newest first; empty when there is none. */
  versions(service: string): readonly controlMessage.DocumentVersion[] {
    return this.records.get(service)?.versions ?? [];
  }

  /** The first outcome of a resent change; undefined when it is not a resend. */
  firstAnswer(command: stateMessage.ApplyDocument): FinalOutcome | undefined {
    const first = this.applied.find(command);
    if (!first.known || !first.isSameRequest) return undefined;
    const { outcome } = first.outcome;
    return outcome.case === undefined || outcome.case === 'staleRevision' ? undefined : outcome;
  }

  /** Calls back after each accepted change and each restored snapshot. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  advanceTo(): void {
    // Documents don't expire.
  }

  hasPendingExpiry(): boolean {
    return false;
  }

  snapshot(): Uint8Array {
    const snapshot = create(stateMessage.DocumentsSnapshotSchema, {
      revision: this.currentRevision,
      sharedRevision: this.sharedRevision,
      records: [...this.records.values()],
      applied: this.applied.snapshot(),
    });
    return toBinary(stateMessage.DocumentsSnapshotSchema, snapshot);
  }

  restore(data: Uint8Array): void {
    const snapshot = fromBinary(stateMessage.DocumentsSnapshotSchema, data);
    this.currentRevision = snapshot.revision;
    this.sharedRevision = snapshot.sharedRevision;
    this.records = new Map(snapshot.records.map((record) => [record.service, record]));
    this.applied.restore(snapshot.applied);
    this.notifyListeners();
  }

  private apply(command: stateMessage.ApplyDocument): stateMessage.ApplyOutcome {
    const first = this.applied.find(command);
    if (first.known) return first.isSameRequest ? first.outcome : outcomeOf(reusedApplyId(command));
    const outcome = outcomeOf(this.decide(command));
    if (REMEMBERED_OUTCOMES.has(outcome.outcome.case)) this.applied.remember(command, outcome);
    return outcome;
  }

  private decide(command: stateMessage.ApplyDocument): Outcome {
    const record = this.records.get(command.service);
    for (const guard of this.guards) {
      const refused = guard(command, record);
      if (refused !== undefined) return refused;
    }
    return { case: 'accepted', value: this.accept(command, record) };
  }

  private accept(
    command: stateMessage.ApplyDocument,
    record: stateMessage.DocumentRecord | undefined,
  ): controlMessage.Accepted {
    this.currentRevision += 1n;
    if (changesShared(command, record)) this.sharedRevision = this.currentRevision;
    const version = versionOf(record) + 1n;
    const accepted = create(controlMessage.AcceptedSchema, { version, revision: this.currentRevision });
    this.records.set(command.service, withVersion(record, command, accepted));
    this.notifyListeners();
    return accepted;
  }

  /**
   * Two operators may add the same model to two services at once, each change checked before the other was accepted; a
   * caller could then reach either service. So a change to values that must be unique needs a check at least as new as the
   * last accepted change of such values; other changes never wait for each other.
   */
  private requireRecheck(
    command: stateMessage.ApplyDocument,
    record: stateMessage.DocumentRecord | undefined,
  ): Outcome | undefined {
    if (!changesShared(command, record)) return undefined;
    if (command.checkedRevision >= this.sharedRevision) return undefined;
    return { case: 'staleRevision', value: this.currentRevision };
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

function outcomeOf(outcome: Outcome): stateMessage.ApplyOutcome {
  return create(stateMessage.ApplyOutcomeSchema, { outcome });
}

function versionOf(record: stateMessage.DocumentRecord | undefined): bigint {
  return record?.versions[0]?.version ?? 0n;
}

function changesShared(
  command: stateMessage.ApplyDocument,
  record: stateMessage.DocumentRecord | undefined,
): boolean {
  return record === undefined || Buffer.compare(record.sharedHash, command.sharedHash) !== 0;
}

function rejected(kind: string, message: string): Outcome {
  return { case: 'rejected', value: create(controlMessage.RejectedSchema, { kind, message }) };
}

function reusedApplyId(command: stateMessage.ApplyDocument): Outcome {
  return rejected('key-reused', `apply id "${command.applyId}" was already used for another change`);
}

/** The accepted version lists who may replace it; the first version lists its own operators. */
function rejectNonOwner(
  command: stateMessage.ApplyDocument,
  record: stateMessage.DocumentRecord | undefined,
): Outcome | undefined {
  const allowed = record?.operatorHashes ?? command.operatorHashes;
  if (allowed.includes(command.keyHash)) return undefined;
  return rejected('not-owner', `the key belongs to no operator of the team that owns "${command.service}"`);
}

/** Of several changes based on one version exactly one is accepted; the others get the operator of that one. */
function rejectStaleBase(
  command: stateMessage.ApplyDocument,
  record: stateMessage.DocumentRecord | undefined,
): Outcome | undefined {
  if (command.baseVersion === versionOf(record)) return undefined;
  const winner = record?.versions[0];
  const conflict = create(controlMessage.ConflictSchema, {
    version: winner?.version ?? 0n,
    operator: winner?.operator ?? '',
    acceptedAtMs: winner?.acceptedAtMs ?? 0n,
  });
  return { case: 'conflict', value: conflict };
}
