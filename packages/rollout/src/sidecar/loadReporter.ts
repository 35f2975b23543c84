/** Reports the load of the target beside this process. */
import { create } from '@bufbuild/protobuf';
import { ProblemTally } from '@jasmineroute/core';
import type { Clock, Log } from '@jasmineroute/core';
import type { ClusterView, ReportSender } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { rolloutEvents } from '../events.js';
import type { TargetPort } from '../port/index.js';
import { intervalFactor } from './pollInterval.js';

/** Poll interval of the target, milliseconds, and the largest factor by which it grows with the number of entries. */
const POLL_INTERVAL_MS = 200;
const MAX_INTERVAL_FACTOR = 2;

/** Interval at which an unchanged load is reported again, milliseconds: entries use a report for 2 s. */
const REPORT_INTERVAL_MS = 800;

/** Timeout of a call to the target, milliseconds. */
const CALL_TIMEOUT_MS = 400;

/** Dependencies of the reporter. */
export interface LoadReporterParts {
  readonly address: string;
  readonly port: TargetPort;
  readonly knowledge: ClusterView;
  readonly sender: Pick<ReportSender, 'send'>;
  /** Whether this process gets an answer when it requests the right to order. */
  readonly canOrder: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Reports go to one control instance, which relays them to all entries. An entry sees only the answers to its own requests:
 * without reports, a target that all entries consider idle would get more requests than it can run at once.
 */
export class LoadReporter {
  private readonly stopped = new AbortController();
  private sentLoad = '';
  /** The target did not answer the last call; logged once for each loss. */
  private isUnreachable = false;
  private sentAt = Number.NEGATIVE_INFINITY;
  private readonly unreadable: ProblemTally;

  constructor(private readonly parts: LoadReporterParts) {
    this.unreadable = new ProblemTally(parts.log, rolloutEvents.unreadableReport);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.poll();
      const intervalMs =
        POLL_INTERVAL_MS * intervalFactor(this.parts.knowledge.entries(), MAX_INTERVAL_FACTOR);
      await clock.sleep(intervalMs, signal).catch(() => undefined);
    }
  }

  stop(): void {
    this.stopped.abort();
  }

  private async poll(): Promise<void> {
    const { knowledge, address, port, clock, log } = this.parts;
    const target = knowledge.targets.at(address);
    if (target === undefined) return;
    const report = await port.report(CALL_TIMEOUT_MS);
    if (report.isErr()) {
      if (!this.isUnreachable)
        log.event(rolloutEvents.unreachable, { address, problem: report.error.message });
      this.isUnreachable = true;
      return;
    }
    this.isUnreachable = false;
    const { running, waiting, unread } = report.value;
    if (unread !== undefined) this.unreadable.record(address, unread.problem, unread.count);
    const ordersBlocked = !this.parts.canOrder();
    const load = `${target.id} ${running} ${waiting} ${ordersBlocked}`;
    const now = clock.monotonic();
    if (load === this.sentLoad && now - this.sentAt < REPORT_INTERVAL_MS) return;
    const fields = { targetId: target.id, running, waiting, ordersBlocked };
    const value = create(controlMessage.TargetLoadSchema, fields);
    const stream = await this.parts.sender.send(() => ({ case: 'load', value }));
    if (stream === undefined) return;
    this.sentLoad = load;
    this.sentAt = now;
  }
}
