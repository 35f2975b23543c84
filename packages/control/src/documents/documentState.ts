/** The documents as replicated state: compare-and-set on versions, first answers, history. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';
import type { CommandHandlers, Feature } from '../state/index.js';
import { AppliedIds } from './appliedIds.js';
import { withVersion } from './documentRecord.js';

type Outcome = stateMessage.ApplyOutcome['outcome'];

/** Outcomes that end a change. */
export type Decided = Exclude<Outcome, { case: 'staleRevision' } | { case: undefined }>;

/** What is answered to resends. A refusal is not: strangers could push out the answers to operators. */
const remembered = new Set<Outcome['case']>(['accepted', 'conflict']);

/** One guard of a change: an outcome when it stops the change. */
type Guard = (
  command: stateMessage.ApplyDocument,
  record: stateMessage.DocumentRecord | undefined,
) => Outcome | undefined;

/**
 * Texts are parsed and checked by the proposer, never while applying: a parser that changes from release to
 * release would give replicas of two releases two states. What a check depends on travels in the command.
 */
export class DocumentState implements Feature {
  private current = 0n;
  private sharedRevision = 0n;
  private records = new Map<string, stateMessage.DocumentRecord>();
  private readonly applied = new AppliedIds();
  private readonly listeners = new Set<() => void>();

  /** In the order in which they answer. */
  private readonly guards: readonly Guard[] = [
    (command, record) => refuseStranger(command, record),
    (command, record) => refuseOldBase(command, record),
    (command, record) => this.askForNewCheck(command, record),
  ];

  readonly handlers: CommandHandlers = {
    apply: (command) => ({ case: 'apply', value: this.apply(command) }),
    barrier: () => ({ case: 'barrier', value: { revision: this.current } }),
  };

  /** Count of all accepted changes. */
  revision(): bigint {
    return this.current;
  }

  services(): string[] {
    return [...this.records.keys()].sort();
  }

  /** Versions of a service, newest first; empty when there is none. */
  versions(service: string): readonly controlMessage.DocumentVersion[] {
    return this.records.get(service)?.versions ?? [];
  }

  /** The first answer to a change that is a resend. */
  firstAnswer(command: stateMessage.ApplyDocument): Decided | undefined {
    const first = this.applied.find(command);
    if (!first.known || !first.sameRequest) return undefined;
    const { outcome } = first.outcome;
    return outcome.case === undefined || outcome.case === 'staleRevision' ? undefined : outcome;
  }

  /** Calls back after each accepted change and each restored snapshot. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  advanced(): void {
    // Documents don't expire.
  }

  expectsTime(): boolean {
    return false;
  }

  snapshot(): Uint8Array {
    const snapshot = create(stateMessage.DocumentsSnapshotSchema, {
      revision: this.current,
      sharedRevision: this.sharedRevision,
      records: [...this.records.values()],
      applied: this.applied.snapshot(),
    });
    return toBinary(stateMessage.DocumentsSnapshotSchema, snapshot);
  }

  restore(data: Uint8Array): void {
    const snapshot = fromBinary(stateMessage.DocumentsSnapshotSchema, data);
    this.current = snapshot.revision;
    this.sharedRevision = snapshot.sharedRevision;
    this.records = new Map(snapshot.records.map((record) => [record.service, record]));
    this.applied.restore(snapshot.applied);
    this.announce();
  }

  private apply(command: stateMessage.ApplyDocument): stateMessage.ApplyOutcome {
    const first = this.applied.find(command);
    if (first.known) return first.sameRequest ? first.outcome : outcomeOf(reusedId(command));
    const outcome = outcomeOf(this.decide(command));
    if (remembered.has(outcome.outcome.case)) this.applied.remember(command, outcome);
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
    this.current += 1n;
    if (changesShared(command, record)) this.sharedRevision = this.current;
    const version = versionOf(record) + 1n;
    const accepted = create(controlMessage.AcceptedSchema, { version, revision: this.current });
    this.records.set(command.service, withVersion(record, command, accepted));
    this.announce();
    return accepted;
  }

  /**
   * Two operators may add the same model to two services at once, each checked before the other was
   * accepted; callers would then find either. So a change of what must be unique only counts when nothing
   * of that sort was accepted after the check; changes of anything else never wait for each other.
   */
  private askForNewCheck(
    command: stateMessage.ApplyDocument,
    record: stateMessage.DocumentRecord | undefined,
  ): Outcome | undefined {
    if (!changesShared(command, record)) return undefined;
    if (command.checkedRevision >= this.sharedRevision) return undefined;
    return { case: 'staleRevision', value: this.current };
  }

  private announce(): void {
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

function reusedId(command: stateMessage.ApplyDocument): Outcome {
  return rejected('key-reused', `apply id "${command.applyId}" was used for another change`);
}

/** The accepted version says who may replace it; the first one speaks for itself. */
function refuseStranger(
  command: stateMessage.ApplyDocument,
  record: stateMessage.DocumentRecord | undefined,
): Outcome | undefined {
  const allowed = record?.operatorHashes ?? command.operatorHashes;
  if (allowed.includes(command.keyHash)) return undefined;
  return rejected('not-owner', `the key is of no operator of the team that owns "${command.service}"`);
}

/** Of several changes to one version exactly one finds it still current; the others learn who was first. */
function refuseOldBase(
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
