/** Keeps a view in files while the process runs, and brings it back at start. */
import type { Clock, Fault, Log } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import { directoryEvents } from '../events.js';
import { documentFromMessage, instanceFromMessage } from '../message/index.js';
import type { View } from '../view/index.js';
import type { KeptAddresses, KeptState } from './persistedView.js';
import type { ViewBuilder } from './viewBuilder.js';

/** Shortest time between two writings of instances, in milliseconds. */
const INSTANCES_MS = 1_000;
/** Longest time that a change of documents waits for the disk, in milliseconds. */
const DISK_MS = 1_000;

/** Loads, then writes as the view changes. */
export class ViewKeeper {
  private waiting: (() => void) | undefined;
  private writing: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly state: KeptState,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Puts what was kept into the builder. A damaged file is passed over: a source has the same and newer. */
  async load(builder: ViewBuilder): Promise<KeptAddresses> {
    const documents = this.usable(await this.state.readDocuments());
    const instances = this.usable(await this.state.readInstances());
    const found = documents?.state;
    if (found !== undefined) {
      const stored = found.documents.map((message) => documentFromMessage(message));
      const step = builder.plan(stored, found.revision);
      builder.put(step.view);
      for (const unreadable of step.unreadable)
        this.log.event(directoryEvents.documentUnreadable, { ...unreadable });
      this.log.event(directoryEvents.stateFileLoaded, { revision: found.revision });
    }
    const kept = instances?.state?.instances ?? [];
    builder.applyInstances([{ changed: kept.map(instanceFromMessage), removed: [], buckets: [] }]);
    return { controls: documents?.controls ?? [], neighbours: found?.neighbours ?? [] };
  }

  /**
   * Writes documents before they come into force: a process that restarts right after would otherwise start
   * from older ones. A disk that fails or hangs does not hold them back for longer than a second.
   */
  async keepDocuments(view: View, addresses: KeptAddresses): Promise<void> {
    const done = new AbortController();
    const written = this.state.writeDocuments(view, addresses).then((result) => {
      if (result.isErr()) this.failed(result.error.message);
      return true;
    });
    this.writing = written;
    const late = this.clock.sleep(DISK_MS, done.signal).then(
      () => false,
      () => true,
    );
    if (!(await Promise.race([written, late]))) this.failed('the disk does not answer');
    done.abort();
  }

  /** Writes instances after a while, together with what changes until then. */
  keepInstances(view: () => View): void {
    this.waiting ??= this.clock.after(INSTANCES_MS, () => {
      this.waiting = undefined;
      void this.writeInstances(view());
    });
  }

  /** Writes what waits. */
  async close(view: View): Promise<void> {
    await this.writing;
    if (this.waiting === undefined) return;
    this.waiting();
    this.waiting = undefined;
    await this.writeInstances(view);
  }

  private async writeInstances(view: View): Promise<void> {
    const result = await this.state.writeInstances(view);
    if (result.isErr()) this.failed(result.error.message);
  }

  private usable<T>(result: Result<T | undefined, Fault>): T | undefined {
    if (result.isOk()) return result.value;
    this.log.event(directoryEvents.stateFileIgnored, { problem: result.error.message });
    return undefined;
  }

  private failed(problem: string): void {
    this.log.event(directoryEvents.stateFileWriteFailed, { problem });
  }
}
