/** The service for operators: apply, get, history. */
import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log, Metrics } from '@jasmineroute/core';
import { hashKey } from '@jasmineroute/document';
import type { Document, Problem } from '@jasmineroute/document';
import { controlMessage, errorOf, stateMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { controlEvents } from '../events.js';
import type { Proposer } from '../log/index.js';
import { controlMetrics } from '../metrics.js';
import { checkDocument, findDuplicates } from './documentCheck.js';
import type { CheckedDocument } from './documentCheck.js';
import type { FinalOutcome, DocumentState } from './documentState.js';
import type { DocumentView } from './documentView.js';

/** Checks of one change before it is rejected as overload: each was outdated by another accepted change. */
const MAX_CHECKS = 16;

/** Longest wait for this replica to apply a revision that the leader reported, milliseconds. */
const CATCH_UP_MS = 2_000;

type ApplyAnswer = MessageInitShape<typeof controlMessage.ApplyResponseSchema>;
type Change = stateMessage.ApplyDocument;

/** Dependencies of the service. */
export interface DocumentServiceParts {
  readonly state: DocumentState;
  readonly view: DocumentView;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Documents for operators; `status` is implemented separately. */
export class DocumentService implements Omit<ServiceImpl<typeof controlMessage.Documents>, 'status'> {
  constructor(private readonly parts: DocumentServiceParts) {}

  /**
   * Checks a document and replaces the version on which it is based, if that is still the newest.
   * @throws ConnectError when it is unknown whether the change was accepted: resend it with the same apply id.
   */
  async apply(request: controlMessage.ApplyRequest): Promise<ApplyAnswer> {
    const { clock, metrics } = this.parts;
    const start = clock.monotonic();
    const decided = await this.decide(request);
    metrics.timing(controlMetrics.applyTime, clock.monotonic() - start);
    if (decided.isErr()) throw errorOf(decided.error);
    this.report(request, decided.value);
    return { outcome: decided.value };
  }

  /** The newest or an older version of a service, and the list of services; an empty service gives only the list. */
  async get(
    request: controlMessage.GetRequest,
  ): Promise<MessageInitShape<typeof controlMessage.GetResponseSchema>> {
    const vouched = await this.catchUp();
    const { state } = this.parts;
    const versions = state.versions(request.service);
    const document =
      request.version === 0n ? versions[0] : versions.find(({ version }) => version === request.version);
    return { document, services: state.services(), vouched };
  }

  /** Versions of a service, newest first. */
  async history(
    request: controlMessage.HistoryRequest,
  ): Promise<MessageInitShape<typeof controlMessage.HistoryResponseSchema>> {
    await this.catchUp();
    const versions = this.parts.state.versions(request.service);
    return { versions: versions.map((version) => ({ ...version, text: '' })) };
  }

  private async decide(request: controlMessage.ApplyRequest): Promise<Result<FinalOutcome, Fault>> {
    if (request.applyId === '') return ok(rejected('invalid-request', 'the apply id is missing'));
    const checked = checkDocument(request.service, request.text);
    if (checked.isErr()) return ok(invalid(checked.error));
    return this.proposeChecked(this.commandOf(request, checked.value), checked.value.document);
  }

  private async proposeChecked(change: Change, document: Document): Promise<Result<FinalOutcome, Fault>> {
    for (let check = 0; check < MAX_CHECKS; check += 1) {
      const checkedRevision = this.parts.state.revision();
      const duplicates = findDuplicates(document, change.text, this.parts.view.all());
      if (duplicates.length > 0) return this.answerDuplicates(change, document);
      const outcome = await this.parts.proposer.propose('apply', { ...change, checkedRevision });
      if (outcome.isErr()) return err(outcome.error);
      const decided = outcome.value.outcome;
      if (decided.case === undefined) return err(fault('internal', 'the apply command has no outcome'));
      if (decided.case !== 'staleRevision') return ok(decided);
      await this.waitForRevision(decided.value);
    }
    return ok(
      rejected('overloaded', 'documents of other services change too often to complete a check: try again'),
    );
  }

  /**
   * Duplicates are no reason to reject a change yet: this replica may be behind and compare with a version that is no
   * longer in force, or the change is a resend that was accepted and duplicates later changes. So the check is repeated
   * on the state that a quorum has confirmed.
   */
  private async answerDuplicates(change: Change, document: Document): Promise<Result<FinalOutcome, Fault>> {
    if (!(await this.catchUp())) return err(fault('no-quorum', 'no quorum of control instances answers'));
    const first = this.parts.state.firstAnswer(change);
    if (first !== undefined) return ok(first);
    const duplicates = findDuplicates(document, change.text, this.parts.view.all());
    if (duplicates.length > 0) return ok(invalid(duplicates));
    return err(fault('overloaded', 'the documents changed during the check: try again'));
  }

  private commandOf(request: controlMessage.ApplyRequest, checked: CheckedDocument): Change {
    return create(stateMessage.ApplyDocumentSchema, {
      service: request.service,
      text: request.text,
      baseVersion: request.baseVersion,
      applyId: request.applyId,
      keyHash: hashKey(request.key),
      operator: request.operator,
      acceptedAtMs: BigInt(this.parts.clock.now().getTime()),
      operatorHashes: checked.operatorHashes,
      sharedHash: checked.sharedHash,
    });
  }

  /** Waits until this replica has applied a revision, at most `CATCH_UP_MS`; false on timeout. */
  private async waitForRevision(revision: bigint): Promise<boolean> {
    const { state, clock } = this.parts;
    if (state.revision() >= revision) return true;
    const abort = new AbortController();
    const stop = state.onChange(() => {
      if (state.revision() >= revision) abort.abort();
    });
    await clock.sleep(CATCH_UP_MS, abort.signal).catch(() => undefined);
    stop();
    return state.revision() >= revision;
  }

  /** Waits until this replica has applied all changes accepted before the call; false when it could not in time. */
  private async catchUp(): Promise<boolean> {
    const barrier = await this.parts.proposer.propose('barrier', {});
    if (barrier.isErr()) return false;
    return this.waitForRevision(barrier.value.revision);
  }

  private report(request: controlMessage.ApplyRequest, decided: FinalOutcome): void {
    const { log, metrics } = this.parts;
    const { service, operator, applyId } = request;
    const version = decided.case === 'rejected' ? undefined : decided.value.version.toString();
    const kind = decided.case === 'rejected' ? decided.value.kind : undefined;
    metrics.count(controlMetrics.applies, 1, { outcome: decided.case });
    log.event(OUTCOME_EVENTS[decided.case], { service, operator, applyId, version, kind });
  }
}

const OUTCOME_EVENTS = {
  accepted: controlEvents.documentAccepted,
  conflict: controlEvents.documentConflict,
  rejected: controlEvents.documentRefused,
} as const;

function invalid(problems: readonly Problem[]): FinalOutcome {
  return rejected('invalid-document', `${problems.length} faults in the document`, problems);
}

function rejected(kind: string, message: string, problems: readonly Problem[] = []): FinalOutcome {
  const value = create(controlMessage.RejectedSchema, { kind, message, problems: [...problems] });
  return { case: 'rejected', value };
}
