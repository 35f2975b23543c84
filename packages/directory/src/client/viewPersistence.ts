/** Saves the view to disk while the process runs and restores it at start. */
import type { Clock, Fault, Log } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import { directoryEvents } from '../events.js';
import { documentFromMessage, instanceFromMessage } from '../message/index.js';
import type { View } from '../view/index.js';
import type { PersistedAddresses, PersistedView } from './persistedView.js';
import type { ViewBuilder } from './viewBuilder.js';

/** Minimum interval between writes of instances, in milliseconds. */
const INSTANCE_WRITE_INTERVAL_MS = 1_000;
/** Maximum time that a document change waits for the disk, in milliseconds. */
const DOCUMENT_WRITE_TIMEOUT_MS = 1_000;

/** Restores the view once, then saves its changes. */
export class ViewPersistence {
  private cancelPending: (() => void) | undefined;
  private documentWrite: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly state: PersistedView,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Loads the saved view into the builder. A damaged file is ignored, as a source has the same or newer data. */
  async load(builder: ViewBuilder): Promise<PersistedAddresses> {
    const documents = this.usable(await this.state.readDocuments());
    const instances = this.usable(await this.state.readInstances());
    const found = documents?.state;
    if (found !== undefined) {
      const stored = found.documents.map((message) => documentFromMessage(message));
      const step = builder.plan(stored, found.revision);
      builder.applyDocuments(step.view);
      for (const unreadable of step.unreadable)
        this.log.event(directoryEvents.documentUnreadable, { ...unreadable });
      this.log.event(directoryEvents.stateFileLoaded, { revision: found.revision });
    }
    const kept = instances?.state?.instances ?? [];
    builder.applyInstances([{ changed: kept.map(instanceFromMessage), removed: [], buckets: [] }]);
    return { controls: documents?.controls ?? [], neighbours: found?.neighbours ?? [] };
  }

  /**
   * Writes documents before they are applied; a process that restarts right afterwards would otherwise start with older
   * ones. A disk that fails or hangs delays them by at most one second.
   */
  async saveDocuments(view: View, addresses: PersistedAddresses): Promise<void> {
    const done = new AbortController();
    const written = this.state.writeDocuments(view, addresses).then((result) => {
      if (result.isErr()) this.logFailure(result.error.message);
      return true;
    });
    this.documentWrite = written;
    const late = this.clock.sleep(DOCUMENT_WRITE_TIMEOUT_MS, done.signal).then(
      () => false,
      () => true,
    );
    if (!(await Promise.race([written, late]))) this.logFailure('documents not written within 1 s');
    done.abort();
  }

  /** Schedules a write of instances, which includes all changes up to that time. */
  scheduleInstances(view: () => View): void {
    this.cancelPending ??= this.clock.after(INSTANCE_WRITE_INTERVAL_MS, () => {
      this.cancelPending = undefined;
      void this.writeInstances(view());
    });
  }

  /** Finishes pending writes. */
  async close(view: View): Promise<void> {
    await this.documentWrite;
    if (this.cancelPending === undefined) return;
    this.cancelPending();
    this.cancelPending = undefined;
    await this.writeInstances(view);
  }

  private async writeInstances(view: View): Promise<void> {
    const result = await this.state.writeInstances(view);
    if (result.isErr()) this.logFailure(result.error.message);
  }

  /** Returns the value of a successful read; logs a failed one and returns undefined. */
  private usable<T>(result: Result<T | undefined, Fault>): T | undefined {
    if (result.isOk()) return result.value;
    this.log.event(directoryEvents.stateFileIgnored, { problem: result.error.message });
    return undefined;
  }

  private logFailure(problem: string): void {
    this.log.event(directoryEvents.stateFileWriteFailed, { problem });
  }
}
