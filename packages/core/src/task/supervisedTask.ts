/** Tasks whose failure must not stop the process. */
import type { Clock } from '../clock/index.js';

/** Pause before a failed task runs again, milliseconds. */
const RETRY_PAUSE_MS = 1_000;

/** How a supervised task is run. */
export interface Supervision {
  readonly clock: Clock;
  /** Ends the supervision. */
  readonly signal: AbortSignal;
  /** Reports a failure; the task runs again after a pause. */
  readonly onFailure: (error: unknown) => void;
}

/**
 * Runs a task that serves one of many, such as one service or one target, until it completes. What its subject makes it throw
 * must not end the process, which serves the others too.
 */
export async function superviseTask(run: () => Promise<void>, supervision: Supervision): Promise<void> {
  const { clock, signal, onFailure } = supervision;
  while (!signal.aborted) {
    try {
      await run();
      return;
    } catch (error) {
      onFailure(error);
    }
    await clock.sleep(RETRY_PAUSE_MS, signal).catch(() => undefined);
  }
}
