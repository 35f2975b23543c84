/** Keeps an answer in one piece from being waited for on a connection that is silent for good. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import type { EngineAnswer } from '../port/index.js';
import { FaultError } from '../wire/index.js';

/** What the watch needs. */
export interface WholeAnswerWatch {
  readonly clock: Clock;
  /** How long an answer is waited for before the engine is asked about it; and again after it has ended. */
  readonly silenceMs: number;
  /** Opens the stream of the answer's events on a new connection, past its last event; any status. */
  readonly follow: (signal: AbortSignal) => Promise<Result<EngineAnswer, Fault>>;
}

const OK = 200;

/** What the engine says of the answer; nothing when it does not know it, or cannot tell. */
type Progress = 'ended' | 'unknown' | 'broken';

async function progressOf(watch: WholeAnswerWatch, signal: AbortSignal): Promise<Progress> {
  const followed = await watch.follow(signal);
  if (followed.isErr()) return 'broken';
  if (followed.value.status !== OK) return 'unknown';
  const iterator = followed.value.body[Symbol.asyncIterator]();
  try {
    for (let read = await iterator.next(); read.done !== true; read = await iterator.next());
    return 'ended';
  } catch {
    return 'broken';
  }
}

/**
 * A JSON answer has no heartbeat: its connection is as silent while the engine works as it is when something
 * between the two has lost track of it, and then the answer would be waited for until the deadline. So the
 * engine is asked on another connection, which does have one. Calls `give up` when the answer has ended there
 * and does not come.
 */
export async function watchWholeAnswer(
  watch: WholeAnswerWatch,
  signal: AbortSignal,
  giveUp: (reason: Error) => void,
): Promise<void> {
  const { clock, silenceMs } = watch;
  const pause = (): Promise<void> => clock.sleep(silenceMs, signal).catch(() => undefined);
  await pause();
  let progress: Progress = 'broken';
  while (progress === 'broken' && !signal.aborted) {
    progress = await progressOf(watch, signal);
    await pause();
  }
  if (progress !== 'ended' || signal.aborted) return;
  giveUp(new FaultError(fault('stream-broken', 'the answer is finished and does not come')));
}
