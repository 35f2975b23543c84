/** Detects a JSON answer that is lost on a connection that stays silent. */
import { fault } from '@jasmineroute/core';
import type { Clock, Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import type { EngineAnswer } from '../port/index.js';
import { FaultError } from '../wire/index.js';

/** Dependencies and settings of the watch. */
export interface JsonAnswerWatch {
  readonly clock: Clock;
  /** Wait for the answer before the engine is asked for its progress, and again after it has ended there, milliseconds. */
  readonly silenceMs: number;
  /** Opens the answer's event stream on a new connection, beyond its last event; any status. */
  readonly followStream: (signal: AbortSignal) => Promise<Result<EngineAnswer, Fault>>;
}

const OK = 200;

/** Progress of the answer at the engine; unknown: it has no such answer; broken: it could not be asked. */
type Progress = 'ended' | 'unknown' | 'broken';

async function progressOf(watch: JsonAnswerWatch, signal: AbortSignal): Promise<Progress> {
  const followed = await watch.followStream(signal);
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
 * Watches a JSON answer. It has no heartbeat: its connection is as silent while the engine works as it is when a middlebox has
 * dropped it, and the caller would wait until the deadline. So the engine is asked over an event stream on another connection,
 * which has a heartbeat. Calls `abort` when the answer has ended there and does not arrive.
 */
export async function watchJsonAnswer(
  watch: JsonAnswerWatch,
  signal: AbortSignal,
  abort: (reason: Error) => void,
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
  abort(new FaultError(fault('stream-broken', 'the engine has finished the answer, but it did not arrive')));
}
