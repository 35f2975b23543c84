/** Evidence on requests that crash targets, as entries and other control instances reported it to this instance. */
import type { Log, Metrics } from '@jasmineroute/core';
import { EvidenceTable, chargedStarts, fingerprintText, isQuarantined } from '@jasmineroute/protocol';
import type { controlMessage } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { RecordFiles } from '../files/index.js';
import { controlMetrics } from '../metrics.js';

/** Maximum number of requests: about 100 KB in the first event of a stream. */
export const MAX_EVIDENCE = 1_000;

/** Records appended to a file before the next one begins. */
const MAX_FILE_RECORDS = 10 * MAX_EVIDENCE;

type CrashEvidence = controlMessage.CrashEvidence;

/** Holds evidence in memory, and on the disk where there is one. Any copy of it is valid by itself. */
export class EvidenceStore {
  private readonly table = new EvidenceTable(MAX_EVIDENCE);
  private readonly listeners = new Set<() => void>();
  private written = 0;

  /** @param files where evidence is stored; undefined without a disk. */
  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
    private readonly files?: RecordFiles<CrashEvidence>,
  ) {}

  /** Reads what the disk holds. */
  async open(): Promise<void> {
    for (const evidence of (await this.files?.load()) ?? []) this.table.merge(evidence);
    this.append(this.table.all());
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
    const changed = received.flatMap((evidence) => this.merge(evidence) ?? []);
    if (changed.length === 0) return;
    this.append(changed);
    this.recordMetrics();
    for (const listener of this.listeners) listener();
  }

  /** Writes what is pending. */
  async close(): Promise<void> {
    await this.files?.close();
  }

  private merge(received: CrashEvidence): CrashEvidence | undefined {
    const known = this.table.find(received.request);
    const merged = this.table.merge(received);
    if (merged === undefined) return undefined;
    const wasQuarantined = known !== undefined && isQuarantined(known);
    if (wasQuarantined !== isQuarantined(merged)) this.logChange(merged);
    return merged;
  }

  private logChange(evidence: CrashEvidence): void {
    const { customer, service, crashed, cleared } = evidence;
    const request = fingerprintText(evidence.request);
    const event = isQuarantined(evidence) ? controlEvents.quarantined : controlEvents.quarantineEnded;
    this.log.event(event, { request, customer, service, crashed, cleared });
  }

  private append(evidence: readonly CrashEvidence[]): void {
    if (this.written + evidence.length > MAX_FILE_RECORDS) {
      this.files?.roll();
      this.written = this.table.size;
      this.files?.append(this.table.all());
      return;
    }
    this.written += evidence.length;
    if (evidence.length > 0) this.files?.append(evidence);
  }

  private recordMetrics(): void {
    const all = this.table.all();
    this.metrics.gauge(controlMetrics.suspects, all.filter((one) => chargedStarts(one).length > 0).length);
    this.metrics.gauge(controlMetrics.quarantined, all.filter(isQuarantined).length);
  }
}
