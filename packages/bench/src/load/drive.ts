/** Open-loop load: each request leaves at its intended time, whatever became of those before it. */
import { systemClock } from '@jasmineroute/core';
import type { PlannedRequest } from '../workload/index.js';
import type { RequestRecord } from './record.js';
import { createDispatcher, send } from './send.js';

/** How a plan is driven. */
export interface DriveOptions {
  readonly urls: readonly string[];
  readonly redialMs?: number;
  readonly giveUpMs?: number;
  /** Called when the run is at a time, once each, in order. */
  readonly events?: readonly TimedEvent[];
}

/** Something that happens during a run: a fault. */
export interface TimedEvent {
  readonly atMs: number;
  readonly name: string;
  readonly run: () => Promise<void>;
}

const DEFAULT_REDIAL_MS = 5_000;
const DEFAULT_GIVE_UP_MS = 60_000;

/** Runs the plan to its last answer. Records are in order of arrival. */
export async function drive(
  plan: readonly PlannedRequest[],
  options: DriveOptions,
): Promise<RequestRecord[]> {
  const { urls, redialMs = DEFAULT_REDIAL_MS, giveUpMs = DEFAULT_GIVE_UP_MS, events = [] } = options;
  const clock = systemClock;
  const dispatcher = createDispatcher();
  const start = clock.monotonic();
  const happenings = events.map(async (event) => {
    await clock.sleep(event.atMs);
    await event.run();
  });
  const answers: Promise<RequestRecord>[] = [];
  for (const [index, planned] of plan.entries()) {
    const arrival = start + planned.atMs;
    const wait = arrival - clock.monotonic();
    if (wait > 0) await clock.sleep(wait);
    const url = (attempt: number): string => urls[(index + attempt) % urls.length] ?? '';
    answers.push(send(planned, arrival, { url, dispatcher, clock, redialMs, giveUpMs }));
  }
  const records = await Promise.all(answers);
  await Promise.all(happenings);
  await dispatcher.destroy();
  return records;
}
