/** Tells the load of the target beside this process. */
import { create } from '@bufbuild/protobuf';
import { ProblemTally } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import type { Knowledge, ReportSender } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetPort } from '../port/index.js';
import { timesFor } from './pollInterval.js';

/** Pause between two looks at the target, milliseconds, and how many times as long it gets where many entries hear it. */
const LOOK_MS = 200;
const MOST_TIMES = 2;

/** A load that has not changed is told again after so long, milliseconds: entries believe one for 2 s. */
const REPEAT_MS = 800;

/** Longest wait for a report, milliseconds. */
const CALL_MS = 400;

/** What the reporter works with. */
export interface LoadReporterParts {
  readonly address: string;
  readonly port: TargetPort;
  readonly knowledge: Knowledge;
  readonly sender: ReportSender;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * One control instance is told, which tells all entries. Each entry sees only the answers to its own requests: a target that
 * all of them think idle would get more requests than it has places.
 */
export class LoadReporter {
  private readonly stopped = new AbortController();
  private told = '';
  /** The target did not answer the last time; logged once for each loss. */
  private lost = false;
  private toldAt = Number.NEGATIVE_INFINITY;
  private readonly unreadable: ProblemTally;

  constructor(private readonly parts: LoadReporterParts) {
    this.unreadable = new ProblemTally(parts.log, rolloutEvents.unreadableReport);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.look();
      const pauseMs = LOOK_MS * timesFor(this.parts.knowledge.entries(), MOST_TIMES);
      await clock.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  private async look(): Promise<void> {
    const { knowledge, address, port, clock, log } = this.parts;
    const target = knowledge.targets.at(address);
    if (target === undefined) return;
    const report = await port.report(CALL_MS);
    if (report.isErr()) {
      if (!this.lost) log.event(rolloutEvents.unreachable, { address, problem: report.error.message });
      this.lost = true;
      return;
    }
    this.lost = false;
    const { running, waiting, unread } = report.value;
    if (unread !== undefined) this.unreadable.note(address, unread.problem, unread.count);
    const load = `${target.id} ${running} ${waiting}`;
    const now = clock.monotonic();
    if (load === this.told && now - this.toldAt < REPEAT_MS) return;
    const value = create(controlMessage.TargetLoadSchema, { targetId: target.id, running, waiting });
    const taken = await this.parts.sender.send(() => ({ case: 'load', value }));
    if (taken === undefined) return;
    this.told = load;
    this.toldAt = now;
  }
}
