/** Reports this entry's pending work at targets to the other entries. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@jasmineroute/core';
import type { ReportSender } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import type { Backlog, PromptWork } from './backlog.js';

/**
 * Interval between two checks for changed work, milliseconds, for each eight entries: a target gets a prompt every
 * 100 ms, and reads it in 30. With more entries each one reports less often, which limits a control instance to 320
 * calls a second.
 */
const CHECK_INTERVAL_MS = 25;
const ENTRIES_PER_INTERVAL = 8;

/** Interval at which unchanged work is reported again, milliseconds: other entries drop a report after 1 s. */
const REPEAT_INTERVAL_MS = 500;

/** Minimum change in total tokens that is reported: smaller changes don't affect decisions. */
const MIN_CHANGE_TOKENS = 500;

/** Dependencies of the reporter. */
export interface WorkReporterParts {
  readonly name: string;
  readonly backlog: Backlog;
  /** Number of entries currently serving. */
  readonly entries: () => number;
  readonly sender: ReportSender;
  readonly clock: Clock;
}

/**
 * Reports to one control instance, which forwards the report to all entries. Without the reports each of eight
 * entries would see an eighth of a target's pending work, and several would send their prompts to the same target
 * within the time that it takes to read one.
 */
export class WorkReporter {
  private readonly stopped = new AbortController();
  private reported = new Map<string, number>();
  private reportedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: WorkReporterParts) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, entries } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.reportIfDue();
      const pauseMs = CHECK_INTERVAL_MS * Math.ceil(entries() / ENTRIES_PER_INTERVAL);
      await clock.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  private async reportIfDue(): Promise<void> {
    const { name, backlog, sender, clock } = this.parts;
    const work = backlog.ownWork();
    const now = clock.monotonic();
    const isRepeatDue = now - this.reportedAt >= REPEAT_INTERVAL_MS && work.length > 0;
    if (!isRepeatDue && changeOf(this.reported, work) < MIN_CHANGE_TOKENS) return;
    const value = create(controlMessage.EntryWorkSchema, { entry: name, targets: work });
    const taken = await sender.send(() => ({ case: 'work', value }));
    if (taken === undefined) return;
    this.reported = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
    this.reportedAt = now;
  }
}

/** Difference between the current and the last reported work in tokens, summed over all targets. */
function changeOf(reported: ReadonlyMap<string, number>, work: readonly PromptWork[]): number {
  const current = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
  const ids = new Set([...reported.keys(), ...current.keys()]);
  return [...ids].reduce((sum, id) => sum + Math.abs((current.get(id) ?? 0) - (reported.get(id) ?? 0)), 0);
}
