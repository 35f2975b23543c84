/** Changes the replicas of the log to those of the control document. */
import type { Clock, Fault, Log } from '@jasmineroute/core';
import type { DocumentView } from '../documents/index.js';
import { controlEvents } from '../events.js';
import type { CommandLog, ReplicaAddress } from '../log/index.js';

/** Time between two comparisons with the control document, milliseconds. */
const RECONCILE_INTERVAL_MS = 1_000;

/** Service whose document lists the control instances. */
export const CONTROL_SERVICE = 'control';

/**
 * Requests a change to the replicas of the control document, repeatedly and on every replica: the leader may be lost in
 * the middle of a change, and any replica may lead next. A former leader that still held an older list would otherwise
 * restore that list.
 */
export class ReplicaReconciler {
  private readonly abort = new AbortController();
  private pendingChange = '';
  private lastApplied = '';

  constructor(
    private readonly view: DocumentView,
    private readonly log: CommandLog,
    private readonly clock: Clock,
    private readonly events: Log,
  ) {}

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { signal } = this.abort;
    for (;;) {
      this.reconcile();
      await this.clock.sleep(RECONCILE_INTERVAL_MS, signal).catch(() => undefined);
      if (signal.aborted) return;
    }
  }

  stop(): void {
    this.abort.abort();
  }

  /** Requests a change to the wanted replicas, unless that change is in progress already. */
  reconcile(): void {
    const wanted = configuredReplicas(this.view);
    if (wanted === undefined) return;
    const text = wanted.map(({ name, address }) => `${name}=${address}`).join(',');
    if (this.pendingChange !== text) void this.change(wanted, text);
  }

  private async change(wanted: ReplicaAddress[], text: string): Promise<void> {
    this.pendingChange = text;
    const changed = await this.log.changeReplicas(wanted);
    if (this.pendingChange === text) this.pendingChange = '';
    if (changed.isErr()) {
      if (changed.error.kind !== 'not-leader') this.report(text, changed.error);
      return;
    }
    if (this.lastApplied !== text) this.events.event(controlEvents.replicasChanged, { replicas: text });
    this.lastApplied = text;
  }

  private report(text: string, cause: Fault): void {
    this.lastApplied = '';
    this.events.event(controlEvents.replicasPending, { replicas: text, cause: cause.message });
  }
}

/** The replicas of the control document in force; undefined when there is none. */
export function configuredReplicas(view: DocumentView): ReplicaAddress[] | undefined {
  const found = view.find(CONTROL_SERVICE);
  return found?.kind === 'control' ? found.replicas : undefined;
}
