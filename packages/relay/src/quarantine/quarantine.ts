/** Refuses requests that crashed several targets, whichever entries sent them. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import type { Report, ReportSender, Target } from '@jasmineroute/knowledge';
import {
  EvidenceTable,
  chargedStarts,
  controlMessage,
  fingerprintText,
  isQuarantined,
} from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import { relayMetrics } from '../metrics.js';
import { CopiedReporter } from '../report/index.js';
import type { CrashWatch } from './crashWatch.js';

/** Maximum number of requests that an entry holds evidence on. */
const MAX_EVIDENCE = 1_000;

type CrashEvidence = controlMessage.CrashEvidence;

/** A request as its caller repeats it. */
export interface SentRequest {
  /** Id of this attempt, for the log. */
  readonly id: string;
  /** Computed when it is first needed: on a day without crashes none is. */
  readonly fingerprint: () => Uint8Array;
  readonly customer: string;
}

/** Dependencies of the quarantine. */
export interface QuarantineParts {
  readonly crashWatch: CrashWatch;
  /** One for each copy of the evidence, each to another control instance; shared with other reports. */
  readonly senders: readonly ReportSender[];
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

const reportOf = (evidence: CrashEvidence[]): Report => ({
  case: 'evidence',
  value: create(controlMessage.CrashReportSchema, { evidence }),
});

/** Evidence of this entry and, through control, of all others. */
export class Quarantine {
  private readonly table = new EvidenceTable(MAX_EVIDENCE);
  private readonly reporter: CopiedReporter<CrashEvidence>;

  constructor(private readonly parts: QuarantineParts) {
    const { senders, clock } = parts;
    this.reporter = new CopiedReporter({ senders, held: () => this.table.all(), reportOf, clock });
  }

  /** Runs until `stop`. */
  run(): Promise<void> {
    return this.reporter.run();
  }

  stop(): void {
    this.reporter.stop();
  }

  /** Adds what control instances know. */
  apply(evidence: readonly CrashEvidence[]): void {
    for (const one of evidence) this.table.merge(one);
  }

  /** Whether a request may not be sent. */
  refuses({ fingerprint }: SentRequest): boolean {
    const evidence = this.table.size === 0 ? undefined : this.table.find(fingerprint());
    return evidence !== undefined && isQuarantined(evidence);
  }

  /**
   * Records that a target broke off the answer to a request. Resolves once it is known whether the target accepts connections;
   * if it does not answer, its fate is recorded when it is known.
   */
  async recordBroken(request: SentRequest, target: Target): Promise<void> {
    const { first, final } = this.parts.crashWatch.fateOf(target);
    void final.then((hasEnded) => {
      this.recordFate(request, target, hasEnded);
    });
    if (await first) this.recordCrash(request, target);
  }

  /** Records that a request ended well: the crashes under it had other causes. */
  recordSuccess({ fingerprint }: SentRequest): void {
    const evidence = this.table.size === 0 ? undefined : this.table.find(fingerprint());
    if (evidence === undefined || chargedStarts(evidence).length === 0) return;
    this.add(create(controlMessage.CrashEvidenceSchema, { ...evidence, cleared: evidence.crashed }));
  }

  private recordFate(request: SentRequest, target: Target, hasEnded: boolean): void {
    const fingerprint = fingerprintText(request.fingerprint());
    this.parts.log.event(relayEvents.brokenUnder, {
      request: request.id,
      fingerprint,
      target: target.id,
      hasEnded,
    });
    if (hasEnded) this.recordCrash(request, target);
  }

  private recordCrash({ fingerprint, customer }: SentRequest, { id, service }: Target): void {
    const fields = { request: fingerprint(), customer, service, crashed: [id] };
    this.add(create(controlMessage.CrashEvidenceSchema, fields));
  }

  private add(evidence: CrashEvidence): void {
    const merged = this.table.merge(evidence);
    if (merged === undefined) return;
    this.reporter.report(merged);
    this.parts.metrics.gauge(relayMetrics.suspects, this.table.size);
  }
}
