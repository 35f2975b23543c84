/** Refuses requests that crashed several targets, whichever entries sent them. */
import { create } from '@bufbuild/protobuf';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import type { Report, ReportSender, Target } from '@jasmineroute/knowledge';
import {
  EvidenceTable,
  chargedSendings,
  chargedStarts,
  clearedEvidence,
  controlMessage,
  fingerprintText,
  isHeld,
  needsTurn,
  trialNumber,
  verdictOf,
} from '@jasmineroute/protocol';
import type { Verdict } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import { relayMetrics } from '../metrics.js';
import { CopiedReporter } from '../report/index.js';
import type { CrashWatch } from './crashWatch.js';
import { SuspectRuns } from './suspectRuns.js';
import type { Trial, Trials } from './trials.js';

/** Maximum number of requests that an entry holds evidence on. */
const MAX_EVIDENCE = 1_000;

/** Crashes after which a request may still go to another target at once: it is more often beside the cause than the cause. */
const MAX_RETRIED_CRASHES = 1;

/** Time for which a request waits for the probe of its target, milliseconds: some round trips. */
const PROBE_WAIT_MS = 25;

/** Delay after which the trial of a request is over, milliseconds. */
const TRIAL_MS = 1_000;

/** Delay after which an operator may have released a request, milliseconds. */
const RELEASE_MS = 60_000;

type CrashEvidence = controlMessage.CrashEvidence;

/** A request as its caller repeats it. */
export interface SentRequest {
  /** Id of this attempt, for the log. */
  readonly id: string;
  /** Computed when it is first needed: on a day without crashes none is. */
  readonly fingerprint: () => Uint8Array;
  readonly customer: string;
  /** Ids of the parts of its prompt that other requests share; the last part is its own. */
  readonly parts: readonly string[];
}

/** Whether a request may be sent. */
export interface Admission {
  readonly isAdmitted: boolean;
  /** The trial that the request runs as. */
  readonly trial?: Trial;
  /** Delay after which a refused caller may come again, milliseconds. */
  readonly retryAfterMs?: number;
}

/** Dependencies of the quarantine. */
export interface QuarantineParts {
  readonly crashWatch: CrashWatch;
  readonly trials: Trials;
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
  /** Suspects that this entry has sent to targets. */
  readonly runs = new SuspectRuns();
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

  /** Whether a request may be sent. */
  async admit({ fingerprint }: SentRequest): Promise<Admission> {
    const verdict = this.verdictOf(fingerprint);
    if (verdict === 'allowed' || verdict === 'suspect') return { isAdmitted: true };
    if (verdict === 'quarantined') return { isAdmitted: false, retryAfterMs: RELEASE_MS };
    const evidence = this.table.find(fingerprint());
    if (evidence === undefined) return { isAdmitted: true };
    const request = fingerprintText(fingerprint());
    const { service } = evidence;
    const number = trialNumber(evidence);
    const trial = await this.parts.trials.take({ request, service, number, needsTurn: needsTurn(evidence) });
    return trial === undefined ? { isAdmitted: false, retryAfterMs: TRIAL_MS } : { isAdmitted: true, trial };
  }

  /**
   * Whether a request that was sent may be sent on within the same attempt of its caller.
   * @param hasRun false: the last target refused it, or was not reached.
   */
  mayRetry({ fingerprint }: SentRequest, hasRun: boolean): boolean {
    const evidence = this.table.size === 0 ? undefined : this.table.find(fingerprint());
    if (evidence === undefined) return true;
    // A trial is a single sending, and a refused one counts too.
    if (isHeld(evidence)) return false;
    return !hasRun || chargedStarts(evidence).length <= MAX_RETRIED_CRASHES;
  }

  /** Whether a request may be sent as a trial only, or not at all. */
  isHeld({ fingerprint }: SentRequest): boolean {
    const evidence = this.table.size === 0 ? undefined : this.table.find(fingerprint());
    return evidence !== undefined && isHeld(evidence);
  }

  /** Records that a trial is sent to a target. @returns a function that takes this back where no target was reached. */
  recordSending({ fingerprint }: SentRequest, { id }: Trial): () => void {
    const evidence = this.table.find(fingerprint());
    if (evidence === undefined) return () => undefined;
    this.add(create(controlMessage.CrashEvidenceSchema, { ...evidence, sent: [id] }));
    return () => {
      this.add(create(controlMessage.CrashEvidenceSchema, { ...evidence, sent: [id], cleared: [id] }));
    };
  }

  /** Whether targets crashed while they ran a request. */
  isSuspect({ fingerprint }: SentRequest): boolean {
    return this.verdictOf(fingerprint) !== 'allowed';
  }

  /**
   * Records that a target broke off the answer to a request. Resolves soon: a host that still runs accepts or refuses a
   * connection within a round trip. The fate of another one is recorded when it is known, as its requests may not wait for it.
   */
  async recordBroken(request: SentRequest, target: Target): Promise<void> {
    const { first, final } = this.parts.crashWatch.fateOf(target);
    void final.then((hasEnded) => {
      this.recordFate(request, target, hasEnded);
    });
    const { clock } = this.parts;
    const hasEnded = await Promise.race([first, clock.sleep(PROBE_WAIT_MS).then(() => false)]);
    if (hasEnded) this.recordCrash(request, target);
  }

  /** Records that a request ended well: the crashes under it had other causes. */
  recordSuccess({ fingerprint }: SentRequest): void {
    const evidence = this.table.size === 0 ? undefined : this.table.find(fingerprint());
    if (evidence === undefined || chargedStarts(evidence).length === 0) return;
    this.add(clearedEvidence(evidence));
  }

  /**
   * Ends a trial.
   * @param target the one that broke it off; undefined: none did.
   */
  endTrial({ fingerprint }: SentRequest, trial: Trial, target: Target | undefined): void {
    const evidence = this.table.find(fingerprint());
    const counts = evidence !== undefined && chargedSendings(evidence).includes(trial.id);
    if (target === undefined) trial.end(counts);
    else
      void this.parts.crashWatch.fateOf(target).final.then(() => {
        trial.end(counts);
      });
  }

  private verdictOf(fingerprint: () => Uint8Array): Verdict {
    return this.table.size === 0 ? 'allowed' : verdictOf(this.table, fingerprint());
  }

  private recordFate(request: SentRequest, target: Target, hasEnded: boolean): void {
    const fingerprint = fingerprintText(request.fingerprint());
    const { log, metrics } = this.parts;
    const { id, parts } = request;
    log.event(relayEvents.brokenUnder, { request: id, fingerprint, parts, target: target.id, hasEnded });
    const prompt = parts.length > 0 ? 'shared' : 'own';
    metrics.count(relayMetrics.brokenRequests, 1, { fate: hasEnded ? 'ended' : 'alive', prompt });
    if (hasEnded) this.recordCrash(request, target);
  }

  private recordCrash({ fingerprint, customer }: SentRequest, target: Target): void {
    const { id, service } = target;
    const fields = { request: fingerprint(), customer, service, crashed: [id] };
    this.add(create(controlMessage.CrashEvidenceSchema, fields));
    void this.parts.crashWatch.isCoincident(target).then((isCoincident) => {
      if (isCoincident) this.add(create(controlMessage.CrashEvidenceSchema, { ...fields, coincident: [id] }));
    });
  }

  private add(evidence: CrashEvidence): void {
    const merged = this.table.merge(evidence);
    if (merged === undefined) return;
    this.reporter.report(merged);
    this.parts.metrics.gauge(relayMetrics.suspects, this.table.size);
  }
}
