/** Evidence on requests and prompt parts that may have crashed targets. Used by entries and control instances alike. */
import { create } from '@bufbuild/protobuf';
import { CrashEvidenceSchema } from '../gen/jasmineroute/control_pb.js';
import type { CrashEvidence } from '../gen/jasmineroute/control_pb.js';
import { fingerprintText } from './fingerprint.js';

/** Crashes after which a request is no longer sent: one or two may have another cause. */
export const MAX_CRASHES = 3;

/** Starts, and sendings, kept of one request or part; the oldest cleared ones are dropped. */
const MAX_KEPT = 16;

interface Entry {
  readonly evidence: CrashEvidence;
  /** Number of the last change. */
  readonly changeNumber: number;
}

/** Starts that crashed under a request and for which it is held responsible. */
export function chargedStarts({ crashed, cleared }: CrashEvidence): string[] {
  return crashed.filter((start) => !cleared.includes(start));
}

/** Whether evidence is on a prompt part rather than on a request. */
export const isOnPart = ({ part }: CrashEvidence): boolean => part !== '';

/** Sendings of a request as a trial that count against it. */
export function chargedSendings({ sent, cleared }: CrashEvidence): string[] {
  return sent.filter((id) => !cleared.includes(id));
}

/** The evidence on a request once nothing of it counts any more. */
export const clearedEvidence = (evidence: CrashEvidence): CrashEvidence =>
  create(CrashEvidenceSchema, { ...evidence, cleared: [...evidence.crashed, ...evidence.sent] });

/** Whether enough targets crashed under a request that it is no longer sent like others. */
export const isHeld = (evidence: CrashEvidence): boolean => chargedStarts(evidence).length >= MAX_CRASHES;

/**
 * Evidence by the fingerprint of the request. Evidence does not expire: a request that crashes targets may come again at any
 * time.
 */
export class EvidenceTable {
  /** In the order of the last change. */
  private readonly entries = new Map<string, Entry>();
  private changeNumber = 0;
  private partCount = 0;

  /** @param capacity maximum number of requests, and of prompt parts: neither displace the other. */
  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.entries.size;
  }

  /** Number of the newest change. */
  get lastChangeNumber(): number {
    return this.changeNumber;
  }

  /** The evidence on a request or part; undefined: none. */
  find(request: Uint8Array): CrashEvidence | undefined {
    return this.entries.get(fingerprintText(request))?.evidence;
  }

  /** All evidence, that of the oldest change first. */
  all(): CrashEvidence[] {
    return this.since(0);
  }

  /** Evidence that changed after a change number; 0 gives all. */
  since(changeNumber: number): CrashEvidence[] {
    if (changeNumber >= this.changeNumber) return [];
    return [...this.entries.values()]
      .filter((entry) => entry.changeNumber > changeNumber)
      .map(({ evidence }) => evidence);
  }

  /** Adds evidence to what is known. @returns the union; undefined if it adds nothing. */
  merge(received: CrashEvidence): CrashEvidence | undefined {
    const key = fingerprintText(received.request);
    const known = this.entries.get(key)?.evidence;
    const merged = known === undefined ? received : unionOf(known, received);
    if (merged === undefined) return undefined;
    this.changeNumber += 1;
    this.remove(key);
    this.entries.set(key, { evidence: merged, changeNumber: this.changeNumber });
    if (isOnPart(merged)) this.partCount += 1;
    const size = isOnPart(merged) ? this.partCount : this.entries.size - this.partCount;
    if (size > this.capacity) this.evict(isOnPart(merged));
    return merged;
  }

  private remove(key: string): void {
    const entry = this.entries.get(key);
    if (entry !== undefined && isOnPart(entry.evidence)) this.partCount -= 1;
    this.entries.delete(key);
  }

  /**
   * Evicts the oldest of the requests, or of the parts, with the fewest crashes. Among these, one of the customer with the most goes
   * first, so that no customer's requests displace those of others.
   */
  private evict(areParts: boolean): void {
    const ranked = [...this.entries]
      .filter(([, { evidence }]) => isOnPart(evidence) === areParts)
      .map(([key, { evidence }]) => ({
        key,
        customer: evidence.customer,
        crashes: chargedStarts(evidence).length,
      }));
    const fewest = Math.min(...ranked.map(({ crashes }) => crashes));
    const candidates = ranked.filter(({ crashes }) => crashes === fewest);
    const counts = new Map<string, number>();
    for (const { customer } of candidates) counts.set(customer, (counts.get(customer) ?? 0) + 1);
    const most = Math.max(...counts.values());
    const evicted = candidates.find(({ customer }) => counts.get(customer) === most);
    if (evicted !== undefined) this.remove(evicted.key);
  }
}

/** Fields that are merged by union. */
const SETS = ['crashed', 'cleared', 'coincident', 'sent', 'together'] as const;

/** The union of two pieces of evidence on a request; undefined if the second adds nothing to the first. */
function unionOf(known: CrashEvidence, received: CrashEvidence): CrashEvidence | undefined {
  const union = create(CrashEvidenceSchema, { ...known });
  for (const set of SETS) union[set] = [...new Set([...known[set], ...received[set]])];
  // A control instance of an earlier release passes evidence on without the part.
  union.part = known.part === '' ? received.part : known.part;
  if (union.part === known.part && SETS.every((set) => union[set].length === known[set].length))
    return undefined;
  const { crashed, sent, cleared } = union;
  const surplus = new Set([...surplusOf(crashed, cleared), ...surplusOf(sent, cleared)]);
  for (const set of SETS) union[set] = union[set].filter((id) => !surplus.has(id));
  union.together = union.together.filter((pair) => union.crashed.some((start) => pair.endsWith(` ${start}`)));
  return union;
}

/** The oldest cleared ids of a set that is too large. */
function surplusOf(ids: readonly string[], cleared: readonly string[]): string[] {
  const excess = Math.max(0, ids.length - MAX_KEPT);
  return ids.filter((id) => cleared.includes(id)).slice(0, excess);
}
