/** Joins what callers saw with what stand-ins counted, and names every broken promise. */
import type { Execution } from '../engine/index.js';
import type { RequestRecord } from '../load/index.js';
import type { Try, WishRecord } from './caller.js';
import type { TroubleRecord } from './trouble.js';

/** One broken promise. */
export interface Violation {
  readonly promise: PromiseName;
  readonly nonce: string;
  readonly detail: string;
}

/**
 * lost: no answer and no truthful state after all tries. doubled: ran twice though it may not. cut: a clean end
 * before the end. crossed: another's answer, or tokens out of order. falseNotRun: said "not run", and it ran.
 * brokenUncaused: a connection broke with no trouble at its entry or link to blame. unknownUncaused: an answer
 * "may have run" or an explicit failure while nothing was wrong anywhere. stopFailed: a planned stop did not
 * end with code 0.
 */
export const promiseNames = [
  'lost',
  'doubled',
  'cut',
  'crossed',
  'falseNotRun',
  'brokenUncaused',
  'stopFailed',
] as const;

/** Name of a promise that can be broken. */
export type PromiseName = (typeof promiseNames)[number];

/** How long a trouble's effect can show after it is over. */
const AFTERMATH_MS = 10_000;

/** Executions by what they carry. */
export interface ExecutionCounts {
  readonly byId: ReadonlyMap<string, number>;
  readonly byNonce: ReadonlyMap<string, number>;
}

/** Counts all stand-ins' executions together. */
export function countExecutions(executions: readonly Execution[]): ExecutionCounts {
  const byId = new Map<string, number>();
  const byNonce = new Map<string, number>();
  for (const { id, nonce } of executions) {
    byId.set(id, (byId.get(id) ?? 0) + 1);
    byNonce.set(nonce, (byNonce.get(nonce) ?? 0) + 1);
  }
  return { byId, byNonce };
}

const say = ({ record, entry }: Try): string =>
  `${record.id} at ${entry}: ${record.outcome} ${record.status} ${record.code} ${record.run} ${record.detail}`;

const sayAll = (wish: WishRecord): string => wish.tries.map(say).join(' | ');

const isTruthfulEnd = (record: RequestRecord): boolean =>
  record.outcome === 'complete' || record.outcome === 'refused' || record.outcome === 'failed';

const excused = (made: Try, troubles: readonly TroubleRecord[]): boolean =>
  troubles.some(
    ({ trouble, victims, fromMs, toMs }) =>
      trouble !== 'rolling-stop' &&
      victims.some((victim) => victim === made.entry || victim === `${made.entry} callers`) &&
      fromMs <= made.toMs &&
      toMs + AFTERMATH_MS >= made.fromMs,
  );

/** One check for each promise that single tries can break. */
const tryChecks: readonly ((
  made: Try,
  counts: ExecutionCounts,
  troubles: readonly TroubleRecord[],
) => PromiseName | undefined)[] = [
  ({ record }) => (record.outcome === 'cut' ? 'cut' : undefined),
  ({ record }) => (record.outcome === 'crossed' || record.outcome === 'disordered' ? 'crossed' : undefined),
  ({ record }, counts) =>
    (record.outcome === 'refused' || record.outcome === 'failed') &&
    record.run === 'not-run' &&
    (counts.byId.get(record.id) ?? 0) > 0
      ? 'falseNotRun'
      : undefined,
  (made, _, troubles) =>
    (made.record.outcome === 'broken' || made.record.outcome === 'late') && !excused(made, troubles)
      ? 'brokenUncaused'
      : undefined,
];

/** All broken promises of a run. */
export function findViolations(
  wishes: readonly WishRecord[],
  counts: ExecutionCounts,
  troubles: readonly TroubleRecord[],
): Violation[] {
  const violations: Violation[] = [];
  for (const wish of wishes) {
    const add = (promise: PromiseName): void => {
      violations.push({ promise, nonce: wish.nonce, detail: sayAll(wish) });
    };
    const last = wish.tries.at(-1);
    if (last === undefined || !isTruthfulEnd(last.record)) add('lost');
    if (wish.once && (counts.byNonce.get(wish.nonce) ?? 0) > 1) add('doubled');
    for (const made of wish.tries) {
      for (const check of tryChecks) {
        const promise = check(made, counts, troubles);
        if (promise !== undefined) add(promise);
      }
    }
  }
  for (const { problem } of troubles) {
    if (problem !== undefined) violations.push({ promise: 'stopFailed', nonce: '', detail: problem });
  }
  return violations;
}
