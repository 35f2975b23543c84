/** Evidence on requests and prompt parts that crash targets, as entries and other control instances reported it to this instance. */
import { create } from '@bufbuild/protobuf';
import type { Log, Metrics } from '@jasmineroute/core';
import {
  EvidenceTable,
  chargedStarts,
  clearedEvidence,
  controlMessage,
  fingerprintText,
  isHeld,
  isOnPart,
  verdictOf,
} from '@jasmineroute/protocol';
import type { Verdict } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { RecordFiles } from '../files/index.js';
import { controlMetrics } from '../metrics.js';

/** Maximum number of requests, and of prompt parts: about 100 KB each in the first event of a stream. */
export const MAX_EVIDENCE = 1_000;

/** Records appended to a file before the next one begins. */
const MAX_FILE_RECORDS = 10 * MAX_EVIDENCE;

const { ListQuarantineResponseSchema, ReleaseQuarantinedResponseSchema } = controlMessage;

type CrashEvidence = controlMessage.CrashEvidence;

/** Holds evidence in memory, and on the disk where there is one. Any copy of it is valid by itself. */
export class EvidenceStore {
  private readonly table = new EvidenceTable(MAX_EVIDENCE);
  private readonly listeners = new Set<() => void>();
  private written = 0;
  /** Verdicts that were logged, by the fingerprints of held requests. */
  private readonly logged = new Map<string, Verdict>();

  /** @param files where evidence is stored; undefined without a disk. */
  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
    private readonly files?: RecordFiles<CrashEvidence>,
  ) {
    files?.beginWith(() => this.table.all());
  }

  /** Reads what the disk holds. */
  async open(): Promise<void> {
    for (const evidence of (await this.files?.load()) ?? []) this.table.merge(evidence);
    this.written = this.table.size;
    this.recordMetrics();
  }

  /** Number of the newest change. */
  get lastChangeNumber(): number {
    return this.table.lastChangeNumber;
  }

  /** Evidence that changed after a change number; 0 gives all. */
  since(changeNumber: number): CrashEvidence[] {
    return this.table.since(changeNumber);
  }

  /** Calls back after each change. @returns a function that unsubscribes. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Adds evidence to what is known here. */
  record(received: readonly CrashEvidence[]): void {
    const changed = received.flatMap((evidence) => this.table.merge(evidence) ?? []);
    if (changed.length === 0) return;
    this.append(changed);
    this.logVerdicts(changed);
    this.recordMetrics();
    for (const listener of this.listeners) listener();
  }

  /** Requests and parts with crashes that count against them, with the verdicts. */
  list({ limit }: controlMessage.ListQuarantineRequest): controlMessage.ListQuarantineResponse {
    const entries = this.table
      .all()
      .map((evidence) => ({ evidence, verdict: verdictOf(this.table, evidence.request) }))
      .filter(({ verdict }) => verdict !== 'allowed')
      .slice(-limit);
    return create(ListQuarantineResponseSchema, { entries });
  }

  /** Clears a request or part of all crashes so far. */
  release({ request }: controlMessage.ReleaseQuarantinedRequest): controlMessage.ReleaseQuarantinedResponse {
    const evidence = this.table.find(request);
    if (evidence !== undefined) {
      this.log.event(controlEvents.released, {
        request: fingerprintText(request),
        part: partOf(evidence),
        crashed: evidence.crashed,
      });
      this.record([clearedEvidence(evidence)]);
    }
    return create(ReleaseQuarantinedResponseSchema, { known: evidence !== undefined });
  }

  /** Writes what is pending. */
  async close(): Promise<void> {
    await this.files?.close();
  }

  /** Logs the verdicts that have changed, where there are many crashes only: the others are many, and change with each crash. */
  private logVerdicts(changed: readonly CrashEvidence[]): void {
    for (const evidence of changed) {
      const request = fingerprintText(evidence.request);
      const verdict = verdictOf(this.table, evidence.request);
      const before = this.logged.get(request);
      if (verdict === before || (before === undefined && !isHeld(evidence))) continue;
      if (isHeld(evidence)) this.logged.set(request, verdict);
      else this.logged.delete(request);
      const { customer, service, crashed, cleared, coincident, sent } = evidence;
      const event = verdict === 'quarantined' ? controlEvents.quarantined : controlEvents.verdictChanged;
      this.log.event(event, {
        request,
        part: partOf(evidence),
        customer,
        service,
        before,
        verdict,
        crashed,
        cleared,
        coincident,
        sent,
      });
    }
  }

  private append(evidence: readonly CrashEvidence[]): void {
    if (this.written + evidence.length > MAX_FILE_RECORDS) {
      this.files?.roll();
      this.written = this.table.size;
    }
    this.written += evidence.length;
    this.files?.append(evidence);
  }

  private recordMetrics(): void {
    const all = this.table.all();
    const requests = all.filter((evidence) => !isOnPart(evidence));
    const parts = all.filter(isOnPart).map(({ request }) => verdictOf(this.table, request));
    const charged = requests.filter((evidence) => chargedStarts(evidence).length > 0);
    this.metrics.gauge(controlMetrics.suspects, charged.length);
    this.metrics.gauge(controlMetrics.quarantined, requests.filter(isHeld).length);
    this.metrics.gauge(controlMetrics.suspectParts, parts.filter((verdict) => verdict !== 'allowed').length);
    this.metrics.gauge(controlMetrics.heldParts, parts.filter(isHeldVerdict).length);
  }
}

const isHeldVerdict = (verdict: Verdict): boolean => verdict === 'doubtful' || verdict === 'quarantined';

/** The prompt part that evidence is on, for the log; undefined: it is on a request. */
const partOf = ({ part }: CrashEvidence): string | undefined => (part === '' ? undefined : part);
