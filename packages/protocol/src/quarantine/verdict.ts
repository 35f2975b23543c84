/** Decides from evidence whether a request may be sent. */
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';
import { MAX_CRASHES, chargedStarts, isHeld } from './evidenceTable.js';
import type { EvidenceTable } from './evidenceTable.js';

/** Crashes after which a request is not sent again, and the same where others that were convicted explain some of them. */
const MAX_DOUBTFUL_CRASHES = MAX_CRASHES + 2;
const MAX_EXPLAINED_CRASHES = MAX_CRASHES + 3;

/** Crashes of which a request must be the only likely cause, the first one left out. */
const MIN_SOLE_CRASHES = MAX_CRASHES - 1;

/**
 * `allowed`: no crash counts against it. `suspect`: some do, fewer than are needed for a verdict. `doubtful`: enough do, but
 * others may be the cause, so it may run as a trial. `quarantined`: it is not sent.
 */
export type Verdict = 'allowed' | 'suspect' | 'doubtful' | 'quarantined';

/** The verdict on a request. */
export function verdictOf(table: EvidenceTable, request: Uint8Array): Verdict {
  const evidence = table.find(request);
  const charged = evidence === undefined ? [] : chargedStarts(evidence);
  if (evidence === undefined || charged.length === 0) return 'allowed';
  if (!isHeld(evidence)) return 'suspect';
  const all = table.all();
  if (charged.length >= MAX_EXPLAINED_CRASHES || isConvicted(evidence, all)) return 'quarantined';
  const convicted = all.filter((other) => isConvicted(other, all));
  const unexplained = charged.filter((start) => !convicted.some(({ crashed }) => crashed.includes(start)));
  const isExplained = unexplained.length < MAX_CRASHES;
  return charged.length >= MAX_DOUBTFUL_CRASHES && !isExplained ? 'quarantined' : 'doubtful';
}

/** Number of the next trial of a doubtful request, which at most one entry may run. */
export const trialNumber = (evidence: CrashEvidence): number => chargedStarts(evidence).length;

/**
 * Whether the trial of a request must be the only one of its service, so that its outcome is due to this request. Many requests
 * are doubtful after targets crashed together several times, and most of them are ordinary ones.
 */
export function needsTurn(evidence: CrashEvidence): boolean {
  const alone = chargedStarts(evidence).filter((start) => !evidence.coincident.includes(start));
  return alone.length > 1;
}

/**
 * Whether a request was the only likely cause of its later crashes: for all others that were running there it was the first
 * one. A request beside the cause has that request beside it again and again, or crashes with different causes.
 */
function isConvicted(evidence: CrashEvidence, all: readonly CrashEvidence[]): boolean {
  if (!isHeld(evidence)) return false;
  const later = chargedStarts(evidence).slice(1);
  return later.filter((start) => isOnlyCause(start, evidence, all)).length >= MIN_SOLE_CRASHES;
}

/** Whether nobody else crashed before a crash, and no other targets crashed together with it, as by a loss of power. */
function isOnlyCause(start: string, evidence: CrashEvidence, all: readonly CrashEvidence[]): boolean {
  const present = all.filter(({ crashed }) => crashed.includes(start));
  if (present.some(({ coincident }) => coincident.includes(start))) return false;
  return present.every((other) => other === evidence || chargedStarts(other).indexOf(start) <= 0);
}
