/** Whether what a caller saw is right. */
import type { Answer, Scene } from '../fixture/index.js';

/** No fault here costs a caller more than a few bounds on silence; a stuck one would wait for its deadline of 30 s. */
const PATIENCE_MS = 20_000;

/** An answer with the model that it was asked of. */
export interface Seen {
  readonly answer: Answer;
  readonly model: 'writer' | 'once';
}

/** The whole answer of this caller's own question. */
export const isWhole = ({ answer }: Seen): boolean =>
  answer.status === 200 && answer.ended && !answer.broken && answer.text === answer.wanted;

/** What is wrong with an answer that is not whole, in words; empty: an explicit error that is true so far. */
function faultsOfError({ answer }: Seen, runs: number): string[] {
  const faults: string[] = [];
  if (answer.ended) faults.push('clean end of an incomplete answer');
  if (answer.code === undefined) faults.push('no explicit error');
  if (answer.run !== 'not-run' && answer.run !== 'may-have-run')
    faults.push(`run is ${answer.run ?? 'absent'}`);
  if (answer.run === 'not-run' && runs > 0) faults.push(`said not-run, ran ${runs} times`);
  if (answer.run === 'not-run' && answer.text !== '') faults.push('said not-run after tokens');
  if (!answer.wanted.startsWith(answer.text)) faults.push('tokens of another answer');
  return faults;
}

/** All that is wrong with what a caller saw, in words. */
export function faultsOf(scene: Scene, seen: Seen): string[] {
  const { answer, model } = seen;
  const runs = scene.runsOf(answer.id);
  const faults = isWhole(seen) ? [] : faultsOfError(seen, runs);
  if (isWhole(seen) && runs === 0) faults.push('an answer that no target ran');
  if (model === 'once' && runs > 1) faults.push(`non-idempotent, ran ${runs} times`);
  if (answer.tookMs > PATIENCE_MS) faults.push(`took ${Math.round(answer.tookMs)} ms`);
  if (answer.echoedId !== answer.id) faults.push(`request id ${answer.echoedId ?? 'absent'}`);
  return faults.map((fault) => `${answer.id}: ${fault} (${answer.status} ${answer.code ?? ''})`);
}

/** Counts answers by how they ended, for the output of a failed run. */
export function tally(seen: readonly Seen[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const one of seen) {
    const { code, run } = one.answer;
    const key = isWhole(one) ? 'whole' : `${code ?? 'no code'}/${run ?? 'no run'}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
