/** Decides from evidence whether a request may be sent. */
import type { EvidenceTable } from './evidenceTable.js';
import { isQuarantined } from './evidenceTable.js';

/**
 * `allowed`: no crash counts against it. `suspect`: some do, fewer than are needed for a verdict. `doubtful`: enough do, but
 * others may be the cause. `quarantined`: it is not sent.
 */
export type Verdict = 'allowed' | 'suspect' | 'doubtful' | 'quarantined';

/** The verdict on a request. */
export function verdictOf(table: EvidenceTable, request: Uint8Array): Verdict {
  const evidence = table.find(request);
  if (evidence === undefined) return 'allowed';
  return isQuarantined(evidence) ? 'quarantined' : 'suspect';
}
