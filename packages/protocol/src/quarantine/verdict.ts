/** Decides from evidence whether a request may be sent, by itself and by the parts of its prompt. */
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';
import { MAX_CRASHES, chargedSendings, chargedStarts, isHeld, isOnPart } from './evidenceTable.js';
import type { EvidenceTable } from './evidenceTable.js';
import { concludeOnParts, isLastTrial, isPartTried } from './suspectParts.js';
import type { PartConclusions } from './suspectParts.js';

/** Crashes after which a request is not sent again, and the same where others that were convicted explain some of them. */
const MAX_DOUBTFUL_CRASHES = MAX_CRASHES + 2;
const MAX_EXPLAINED_CRASHES = MAX_CRASHES + 3;

/** Trials of a request in all, whatever became of them: each may reach a target that it crashes. */
const MAX_TRIALS = 3;

/** Crashes of which a request must be the only likely cause, the first one left out. */
const MIN_SOLE_CRASHES = MAX_CRASHES - 1;

/**
 * `allowed`: no crash counts against it. `suspect`: some do, fewer than are needed for a verdict. `doubtful`: enough do, but
 * others may be the cause, so it may run as a trial. `quarantined`: it is not sent.
 */
export type Verdict = 'allowed' | 'suspect' | 'doubtful' | 'quarantined';

/** What the evidence on all requests together shows. */
interface Conclusions {
  /** Number of the change of the table that they hold for. */
  readonly changeNumber: number;
  readonly convicted: ReadonlySet<CrashEvidence>;
  /** Starts that crashed under convicted requests, or under parts that are sent no more. */
  readonly explained: ReadonlySet<string>;
  readonly parts: PartConclusions;
}

/** The verdict on a request with the parts of its prompt. */
export interface Standing {
  readonly verdict: Verdict;
  /** Evidence that a trial of the request counts against. */
  readonly tried: readonly CrashEvidence[];
  /** Evidence on the request and all of its parts with crashes that count against them: any of these may end its trial. */
  readonly doubtful: readonly CrashEvidence[];
  /** Whether it would be the last trial of a part together with others: none is left for a request that has that part alone. */
  readonly isLastJointTrial: boolean;
}

const ALLOWED: Standing = { verdict: 'allowed', tried: [], doubtful: [], isLastJointTrial: false };

const conclusionsByTable = new WeakMap<EvidenceTable, Conclusions>();

/** How the verdict of a request follows from those on itself and on its parts. */
const SEVERITY: readonly Verdict[] = ['allowed', 'suspect', 'doubtful', 'quarantined'];

/**
 * The verdict on a request with parts, which are given by their fingerprints.
 * @param request computed only if there is any evidence.
 */
export function standingOf(
  table: EvidenceTable,
  request: () => Uint8Array,
  parts: () => readonly Uint8Array[],
): Standing {
  if (table.size === 0) return ALLOWED;
  const ofParts = standingOfParts(table, parts());
  const evidence = table.find(request());
  if (evidence === undefined || chargedStarts(evidence).length === 0) return ofParts;
  const verdict = verdictOf(table, request());
  return {
    verdict: severer(verdict, ofParts.verdict),
    tried: verdict === 'doubtful' ? [evidence, ...ofParts.tried] : ofParts.tried,
    // A request that crashed targets itself may be the cause, whatever its parts are.
    doubtful: [evidence, ...ofParts.doubtful],
    isLastJointTrial: ofParts.tried.some(isLastTrial),
  };
}

const severer = (one: Verdict, other: Verdict): Verdict =>
  SEVERITY.indexOf(one) < SEVERITY.indexOf(other) ? other : one;

function standingOfParts(table: EvidenceTable, parts: readonly Uint8Array[]): Standing {
  const { candidates, suspects } = conclusionsOf(table).parts;
  const known = parts.flatMap((part) => table.find(part) ?? []);
  if (!known.some((evidence) => suspects.has(evidence))) return ALLOWED;
  const doubtful = known.filter((evidence) => chargedStarts(evidence).length > 0);
  const tried = known.filter((evidence) => candidates.has(evidence));
  const verdict = tried.some(isPartTried) ? 'quarantined' : 'doubtful';
  return { verdict, tried, doubtful, isLastJointTrial: tried.length > 1 && tried.some(isLastTrial) };
}

/** The verdict on a request by itself, or on a prompt part. */
export function verdictOf(table: EvidenceTable, request: Uint8Array): Verdict {
  const evidence = table.find(request);
  const charged = evidence === undefined ? [] : chargedStarts(evidence);
  if (evidence === undefined || charged.length === 0) return 'allowed';
  if (isOnPart(evidence)) return verdictOfPart(table, evidence);
  if (!isHeld(evidence)) return 'suspect';
  if (chargedSendings(evidence).length >= MAX_TRIALS) return 'quarantined';
  const { convicted, explained, parts } = conclusionsOf(table);
  if (charged.every((start) => parts.explained.has(start))) return 'suspect';
  if (charged.length >= MAX_EXPLAINED_CRASHES || convicted.has(evidence)) return 'quarantined';
  const unexplained = charged.filter((start) => !explained.has(start));
  const isExplained = unexplained.length < MAX_CRASHES;
  return charged.length >= MAX_DOUBTFUL_CRASHES && !isExplained ? 'quarantined' : 'doubtful';
}

function verdictOfPart(table: EvidenceTable, evidence: CrashEvidence): Verdict {
  if (!conclusionsOf(table).parts.suspects.has(evidence)) return 'suspect';
  return isPartTried(evidence) ? 'quarantined' : 'doubtful';
}

/**
 * Number of the next trial of a doubtful request or part, which at most one entry may run. Those that no longer count are counted
 * too: the lease of one may still be held when the next one is due.
 */
export const trialNumber = ({ sent }: CrashEvidence): number => sent.length;

/**
 * Whether the trial of a request must be the only one of its service, so that its outcome is due to this request. Many requests
 * are doubtful after targets crashed together several times, and most of them are ordinary ones.
 */
export function needsTurn(evidence: CrashEvidence): boolean {
  if (isOnPart(evidence)) return false;
  const alone = chargedStarts(evidence).filter((start) => !evidence.coincident.includes(start));
  return alone.length > 1;
}

/** Draws the conclusions once for each change of a table: an entry asks for many verdicts between two. */
function conclusionsOf(table: EvidenceTable): Conclusions {
  const known = conclusionsByTable.get(table);
  if (known?.changeNumber === table.lastChangeNumber) return known;
  const all = table.all();
  const parts = concludeOnParts(all);
  const requests = all.filter((evidence) => !isOnPart(evidence));
  const causes = likelyCauses(requests);
  const convicted = new Set(requests.filter((evidence) => isConvicted(evidence, causes)));
  const explained = new Set([...[...convicted].flatMap(({ crashed }) => crashed), ...parts.explained]);
  const conclusions = { changeNumber: table.lastChangeNumber, convicted, explained, parts };
  conclusionsByTable.set(table, conclusions);
  return conclusions;
}

/**
 * Number of likely causes of each crash: requests for which it was not the first one. The loss of power of several targets
 * counts as further ones.
 */
function likelyCauses(all: readonly CrashEvidence[]): ReadonlyMap<string, number> {
  const causes = new Map<string, number>();
  const add = (start: string): void => {
    causes.set(start, (causes.get(start) ?? 0) + 1);
  };
  for (const evidence of all) {
    for (const start of chargedStarts(evidence).slice(1)) add(start);
    for (const start of evidence.coincident) add(start);
  }
  return causes;
}

/**
 * Whether a request was the only likely cause of its later crashes. A request beside the cause has that request beside it again
 * and again, or crashes with different causes.
 */
function isConvicted(evidence: CrashEvidence, causes: ReadonlyMap<string, number>): boolean {
  if (!isHeld(evidence)) return false;
  const later = chargedStarts(evidence).slice(1);
  return later.filter((start) => causes.get(start) === 1).length >= MIN_SOLE_CRASHES;
}
