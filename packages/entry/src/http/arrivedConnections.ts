/** Connections that have arrived at a listener and are not accepted yet. Closing the listener resets them. */
import { setImmediate } from 'node:timers/promises';

/** Most turns of the event loop in which they are accepted. */
const MAX_ACCEPT_TURNS = 1_024;

/**
 * Accepts the connections that have arrived. Timers run before them, so after a stall of the event loop none seems to have,
 * and each turn of the loop accepts only one. The first wait may end in the middle of a turn.
 * @param accepted number of connections that were accepted so far.
 */
export async function acceptArrived(accepted: () => number): Promise<void> {
  await setImmediate();
  for (let turn = 0; turn < MAX_ACCEPT_TURNS; turn += 1) {
    const before = accepted();
    await setImmediate();
    if (accepted() === before) return;
  }
}
