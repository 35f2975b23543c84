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
  /** Opens the stream of the answer's events on a new connection, past its last event. */
  readonly follow: (signal: AbortSignal) => Promise<Result<EngineAnswer, Fault>>;
}

/** Whether the engine says that the answer has ended. An engine that does not know it says nothing. */
async function hasEnded(watch: WholeAnswerWatch, signal: AbortSignal): Promise<boolean | 'broken'> {
  const followed = await watch.follow(signal);
  if (followed.isErr()) return false;
  const iterator = followed.value.body[Symbol.asyncIterator]();
  try {
    for (let read = await iterator.next(); read.done !== true; read = await iterator.next());
    return true;
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
  let ended: boolean | 'broken' = 'broken';
  while (ended === 'broken' && !signal.aborted) {
    ended = await hasEnded(watch, signal);
    await pause();
  }
  if (ended !== true || signal.aborted) return;
  giveUp(new FaultError(fault('stream-broken', 'the answer is finished and does not come')));
}
