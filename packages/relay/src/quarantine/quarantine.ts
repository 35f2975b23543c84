/** Refuses requests, and prompt parts, that crashed several targets, whichever entries sent them. */
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
  hasManyCrashes,
  isOnPart,
  needsTurn,
  standingOf,
  togetherPair,
  trialNumber,
} from '@jasmineroute/protocol';
import type { Standing } from '@jasmineroute/protocol';
import { relayEvents } from '../events.js';
import { relayMetrics } from '../metrics.js';
import { CopiedReporter } from '../report/index.js';
import type { CrashWatch, Fate } from './crashWatch.js';
import { DoubtfulSets } from './doubtfulSets.js';
import { SuspectRuns } from './suspectRuns.js';
import type { Trial, Trials } from './trials.js';

/** Maximum number of requests, and of prompt parts, that an entry holds evidence on. */
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
  /** Fingerprints of these parts, in the same order; computed when they are first needed. */
  readonly partFingerprints: () => readonly Uint8Array[];
}

/** A trial that a request runs as. */
export interface AdmittedTrial {
  readonly lease: Trial;
  /** Evidence that it counts against. */
  readonly tried: readonly CrashEvidence[];
}

/** Whether a request may be sent. */
export interface Admission {
  readonly isAdmitted: boolean;
  /** The trial that the request runs as. */
  readonly trial?: AdmittedTrial;
  /** Delay after which a refused caller may come again, milliseconds. */
  readonly retryAfterMs?: number;
  /** Id of the prompt part for which the request is refused; absent: it is refused by itself. */
  readonly part?: string;
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
  private readonly doubtfulSets: DoubtfulSets;
  private readonly reporter: CopiedReporter<CrashEvidence>;

  constructor(private readonly parts: QuarantineParts) {
    const { senders, clock } = parts;
    this.doubtfulSets = new DoubtfulSets(clock);
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
  async admit(request: SentRequest): Promise<Admission> {
    const standing = this.standingOf(request);
    const { verdict, tried } = standing;
    if (verdict === 'allowed' || verdict === 'suspect') return { isAdmitted: true };
    const part = tried.find(isOnPart)?.part;
    if (verdict === 'quarantined') return { isAdmitted: false, retryAfterMs: RELEASE_MS, part };
    const lease = await this.takeTrial(standing);
    if (lease === undefined) return { isAdmitted: false, retryAfterMs: TRIAL_MS, part };
    return { isAdmitted: true, trial: { lease, tried } };
  }

  private async takeTrial(standing: Standing): Promise<Trial | undefined> {
    const { tried, doubtful, isLastJointTrial } = standing;
    const subjects = doubtful.map((evidence) => ({
      fingerprint: fingerprintText(evidence.request),
      crashes: chargedStarts(evidence).length,
    }));
    if (!this.doubtfulSets.mayBeTried(subjects, isLastJointTrial)) return undefined;
    const requests = tried.map((evidence) => ({
      request: fingerprintText(evidence.request),
      service: evidence.service,
      number: trialNumber(evidence),
      needsTurn: needsTurn(evidence),
    }));
    return this.parts.trials.take(requests);
  }

  /**
   * Whether a request that was sent may be sent on within the same attempt of its caller.
   * @param hasRun false: the last target refused it, or was not reached.
   */
  mayRetry(request: SentRequest, hasRun: boolean): boolean {
    // A trial is a single sending, and a refused one counts too.
    if (this.isHeld(request)) return false;
    const evidence = this.table.size === 0 ? undefined : this.table.find(request.fingerprint());
    if (evidence === undefined) return true;
    return !hasRun || chargedStarts(evidence).length <= MAX_RETRIED_CRASHES;
  }

  /** Whether a request may be sent as a trial only, or not at all. */
  isHeld(request: SentRequest): boolean {
    return this.refusalOf(request) !== undefined;
  }

  /** Why a request may be sent as a trial only, or not at all; undefined: it may be sent. */
  refusalOf(request: SentRequest): Pick<Admission, 'part'> | undefined {
    const { verdict, tried } = this.standingOf(request);
    const isHeld = verdict === 'doubtful' || verdict === 'quarantined';
    return isHeld ? { part: tried.find(isOnPart)?.part } : undefined;
  }

  /**
   * Records that a trial is sent to a target.
   * @returns a function that takes this back where no target was reached or, of what has crashed few, where it refused.
   */
  recordSending({ lease, tried }: AdmittedTrial): (wasReached: boolean) => void {
    const sent = [lease.id];
    for (const evidence of tried) this.add(create(controlMessage.CrashEvidenceSchema, { ...evidence, sent }));
    return (wasReached) => {
      for (const evidence of tried.filter((one) => !wasReached || (isOnPart(one) && !hasManyCrashes(one))))
        this.add(create(controlMessage.CrashEvidenceSchema, { ...evidence, sent, cleared: sent }));
    };
  }

  /** Whether targets crashed while they ran a request, or other requests with a part that explains it. */
  isSuspect(request: SentRequest): boolean {
    return this.standingOf(request).verdict !== 'allowed';
  }

  /**
   * Records that a target broke off the answer to a request. Resolves soon: a host that still runs accepts or refuses a
   * connection within a round trip. The fate of another one is recorded when it is known, as its requests may not wait for it.
   */
  async recordBroken(request: SentRequest, target: Target): Promise<void> {
    const fate = this.parts.crashWatch.fateOf(target);
    void fate.final.then((hasEnded) => {
      this.recordFate(request, target, fate, hasEnded);
    });
    const { clock } = this.parts;
    const hasEnded = await Promise.race([fate.first, clock.sleep(PROBE_WAIT_MS).then(() => false)]);
    if (hasEnded) this.recordCrash(request, target, fate);
  }

  /**
   * Records that a target begins to answer a request.
   * @returns a function that records that the answer ended well: the parts of the request did not cause the crashes that were known
   * when it began. A part may be sound for long and crash targets from some moment on.
   */
  beginAnswer({ partFingerprints }: SentRequest): () => void {
    if (this.table.size === 0) return () => undefined;
    const known = partFingerprints().flatMap((part) => this.table.find(part) ?? []);
    const cleared = known.filter((evidence) => chargedStarts(evidence).length > 0).map(clearedEvidence);
    return () => {
      for (const evidence of cleared) this.add(evidence);
    };
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
  endTrial({ lease, tried }: AdmittedTrial, target: Target | undefined): void {
    const counts = tried.some(({ request }) => {
      const evidence = this.table.find(request);
      return evidence !== undefined && chargedSendings(evidence).includes(lease.id);
    });
    if (target === undefined) lease.end(counts);
    else
      void this.parts.crashWatch.fateOf(target).final.then(() => {
        lease.end(counts);
      });
  }

  private standingOf({ fingerprint, partFingerprints }: SentRequest): Standing {
    return standingOf(this.table, fingerprint, partFingerprints);
  }

  private recordFate(request: SentRequest, target: Target, fate: Fate, hasEnded: boolean): void {
    const fingerprint = fingerprintText(request.fingerprint());
    const { log, metrics } = this.parts;
    const { id, parts } = request;
    log.event(relayEvents.brokenUnder, { request: id, fingerprint, parts, target: target.id, hasEnded });
    const prompt = parts.length > 0 ? 'shared' : 'own';
    metrics.count(relayMetrics.brokenRequests, 1, { fate: hasEnded ? 'ended' : 'alive', prompt });
    if (hasEnded) this.recordCrash(request, target, fate);
  }

  private recordCrash(request: SentRequest, target: Target, { together }: Fate): void {
    const { id, service } = target;
    const { customer } = request;
    const fields = { request: request.fingerprint(), customer, service, crashed: [id] };
    this.add(create(controlMessage.CrashEvidenceSchema, fields));
    void this.parts.crashWatch.isCoincident(target).then((isCoincident) => {
      if (isCoincident) this.add(create(controlMessage.CrashEvidenceSchema, { ...fields, coincident: [id] }));
    });
    const pairs = together === undefined ? [] : [togetherPair(together, id)];
    for (const [at, part] of request.partFingerprints().entries()) {
      const ofPart = { ...fields, request: part, part: request.parts[at], together: pairs };
      this.add(create(controlMessage.CrashEvidenceSchema, ofPart));
    }
  }

  private add(evidence: CrashEvidence): void {
    const merged = this.table.merge(evidence);
    if (merged === undefined) return;
    this.reporter.report(merged);
    this.parts.metrics.gauge(relayMetrics.suspects, this.table.size);
  }
}
