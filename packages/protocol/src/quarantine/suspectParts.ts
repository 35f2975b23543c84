/** Finds the prompt parts that are the likely causes of crashes. */
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';
import { MAX_CRASHES, chargedSendings, chargedStarts, isOnPart } from './evidenceTable.js';
import { Moments } from './moments.js';

/** Crashes after which a part is suspected for a single one that no other part explains. */
const MAX_UNSUSPECTED_CRASHES = MAX_CRASHES + 2;

/** Trials of a part in all, whatever became of them: each may reach a target that it crashes. */
const MAX_PART_TRIALS = 3;

/** A part with enough crashes to be the cause of some. */
interface Candidate {
  readonly evidence: CrashEvidence;
  /** Moments of the crashes that count against it. */
  readonly moments: readonly string[];
}

/** What evidence shows of the parts. */
export interface PartConclusions {
  /** Evidence on parts with enough crashes to be the cause of some. */
  readonly candidates: ReadonlySet<CrashEvidence>;
  /** Evidence on the candidates that explain the crashes; the others were beside them. */
  readonly suspects: ReadonlySet<CrashEvidence>;
  /** Starts that crashed under parts which are sent no more. */
  readonly explained: ReadonlySet<string>;
}

/** Whether a part was sent as often as a trial as it may be. */
export const isPartTried = (evidence: CrashEvidence): boolean =>
  chargedSendings(evidence).length >= MAX_PART_TRIALS;

/** Whether the next trial of a part is its last one. */
export const isLastTrial = (evidence: CrashEvidence): boolean =>
  chargedSendings(evidence).length >= MAX_PART_TRIALS - 1;

/** Whether a part has crashed so many targets that a trial counts against it even if a target refuses it. */
export const hasManyCrashes = (evidence: CrashEvidence): boolean =>
  chargedStarts(evidence).length >= MAX_UNSUSPECTED_CRASHES;

/** Draws the conclusions from all evidence. */
export function concludeOnParts(all: readonly CrashEvidence[]): PartConclusions {
  const moments = new Moments(all);
  const candidates = all
    .filter((evidence) => isOnPart(evidence) && chargedStarts(evidence).length >= MAX_CRASHES)
    .map((evidence): Candidate => ({ evidence, moments: moments.ofAll(chargedStarts(evidence)) }))
    .filter((candidate) => candidate.moments.length >= MAX_CRASHES);
  const suspects = findSuspects(candidates);
  const tried = [...suspects].filter(isPartTried);
  return {
    candidates: new Set(candidates.map(({ evidence }) => evidence)),
    suspects,
    explained: new Set(tried.flatMap(chargedStarts)),
  };
}

/**
 * Explains the crashes by as few parts as possible: the one that was at most of them first, then the one that was at most of the
 * rest. A part that is beside the cause is missing at some crash, or was cleared of it by an answer that ended well. Parts that were
 * at equally many can't be told apart and are suspected together.
 */
function findSuspects(candidates: readonly Candidate[]): ReadonlySet<CrashEvidence> {
  const suspects = new Set<CrashEvidence>();
  const explained = new Set<string>();
  for (;;) {
    const open = candidates
      .filter(({ evidence }) => !suspects.has(evidence))
      .map((candidate) => ({ ...candidate, unexplained: unexplainedOf(candidate, explained) }))
      .filter(isUnexplained);
    if (open.length === 0) return suspects;
    const most = Math.max(...open.map(({ unexplained }) => unexplained));
    const found = open.filter(({ unexplained }) => unexplained === most);
    for (const { evidence, moments } of found) {
      suspects.add(evidence);
      for (const moment of moments) explained.add(moment);
    }
  }
}

const unexplainedOf = ({ moments }: Candidate, explained: ReadonlySet<string>): number =>
  moments.filter((moment) => !explained.has(moment)).length;

/** Whether suspects found so far leave too many crashes of a part without an explanation. */
function isUnexplained({ moments, unexplained }: Candidate & { readonly unexplained: number }): boolean {
  return unexplained >= (moments.length >= MAX_UNSUSPECTED_CRASHES ? 1 : MAX_CRASHES);
}
