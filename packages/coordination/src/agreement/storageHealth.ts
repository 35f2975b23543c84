/** Whether the storage of a replica works, with its log lines and metrics. */
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { coordinationEvents } from '../events.js';
import { coordinationMetrics } from '../metrics.js';
import type { StorageFault } from '../storage/index.js';

/** Tracks the errors of one replica's storage. */
export class StorageHealth {
  /** Last error, with which later operations are refused; undefined while the storage works. */
  failure: StorageFault | undefined;
  /** Monotonic time of the first error since the storage last worked. */
  private failingSince = 0;
  /** Failed operations since then. */
  private failures = 0;
  private hasReportedAbstention = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** Records a failed operation; logged when it is the first one or of another kind than the last. */
  recordFailure(failure: StorageFault): void {
    const { operation, call, code, isFinal, message } = failure;
    const last = this.failure;
    const isNew =
      last === undefined || (operation !== 'recover' && last.operation !== operation) || last.code !== code;
    if (this.failure === undefined) {
      this.failingSince = this.clock.monotonic();
      this.metrics.gauge(coordinationMetrics.storageFailing, 1);
    }
    this.failure = { ...failure, ran: 'not-run' };
    this.failures += 1;
    this.metrics.count(coordinationMetrics.storageFailures, 1, { operation });
    if (!isNew) return;
    this.log.event(coordinationEvents.storageFailed, {
      operation,
      call,
      code,
      final: isFinal,
      reason: message,
    });
  }

  /** Records that the storage works again. */
  recordSuccess(): void {
    if (this.failure === undefined) return;
    const failedForMs = Math.round(this.clock.monotonic() - this.failingSince);
    const { operation } = this.failure;
    this.log.event(coordinationEvents.storageWorks, { operation, failedForMs, failures: this.failures });
    this.metrics.gauge(coordinationMetrics.storageFailing, 0);
    this.failure = undefined;
    this.failures = 0;
    this.hasReportedAbstention = false;
  }

  /** Logs, once for each time that the storage fails, that the replica takes no part in elections. */
  reportAbstention(from: 'candidacy' | 'vote'): void {
    if (this.hasReportedAbstention) return;
    this.hasReportedAbstention = true;
    const failingForMs = Math.round(this.clock.monotonic() - this.failingSince);
    this.log.event(coordinationEvents.storageAbstention, { from, failingForMs });
  }
}
