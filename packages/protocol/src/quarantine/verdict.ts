/** Decides from evidence whether a request may be sent. */
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';
import { MAX_CRASHES, chargedSendings, chargedStarts, isHeld } from './evidenceTable.js';
import type { EvidenceTable } from './evidenceTable.js';

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
  /** Starts that crashed under convicted requests. */
  readonly explained: ReadonlySet<string>;
}

const conclusionsByTable = new WeakMap<EvidenceTable, Conclusions>();

/** The verdict on a request. */
export function verdictOf(table: EvidenceTable, request: Uint8Array): Verdict {
  const evidence = table.find(request);
  const charged = evidence === undefined ? [] : chargedStarts(evidence);
  if (evidence === undefined || charged.length === 0) return 'allowed';
  if (!isHeld(evidence)) return 'suspect';
  if (chargedSendings(evidence).length >= MAX_TRIALS) return 'quarantined';
  const { convicted, explained } = conclusionsOf(table);
  if (charged.length >= MAX_EXPLAINED_CRASHES || convicted.has(evidence)) return 'quarantined';
  const unexplained = charged.filter((start) => !explained.has(start));
  const isExplained = unexplained.length < MAX_CRASHES;
  return charged.length >= MAX_DOUBTFUL_CRASHES && !isExplained ? 'quarantined' : 'doubtful';
}

/**
 * Number of the next trial of a doubtful request, which at most one entry may run. Those that no longer count are counted too: the
 * lease of one may still be held when the next one is due.
 */
export const trialNumber = ({ sent }: CrashEvidence): number => sent.length;

/**
 * Whether the trial of a request must be the only one of its service, so that its outcome is due to this request. Many requests
 * are doubtful after targets crashed together several times, and most of them are ordinary ones.
 */
export function needsTurn(evidence: CrashEvidence): boolean {
  const alone = chargedStarts(evidence).filter((start) => !evidence.coincident.includes(start));
  return alone.length > 1;
}

/** Draws the conclusions once for each change of a table: an entry asks for many verdicts between two. */
function conclusionsOf(table: EvidenceTable): Conclusions {
  const known = conclusionsByTable.get(table);
  if (known?.changeNumber === table.lastChangeNumber) return known;
  const all = table.all();
  const causes = likelyCauses(all);
  const convicted = new Set(all.filter((evidence) => isConvicted(evidence, causes)));
  const explained = new Set([...convicted].flatMap(({ crashed }) => crashed));
  const conclusions = { changeNumber: table.lastChangeNumber, convicted, explained };
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
