/** Maintains a process's view of documents and instances and announces the process itself. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { runCriticalTask } from '@jasmineroute/core';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { ControlAddresses } from '../call/index.js';
import { directoryEvents } from '../events.js';
import { bucketDigests } from '../message/index.js';
import { directoryMetrics } from '../metrics.js';
import type { RelayedDirectory } from '../server/index.js';
import type { Role, View } from '../view/index.js';
import { AnnouncedState } from './announcement.js';
import type { Announcement } from './announcement.js';
import { HeartbeatTask } from './heartbeatTask.js';
import { EventApplier } from './eventApplier.js';
import { PersistedView } from './persistedView.js';
import { KnownAddresses } from './knownAddresses.js';
import { defaultTiming } from './timing.js';
import type { ClientTiming } from './timing.js';
import { ViewBuilder } from './viewBuilder.js';
import { ViewPersistence } from './viewPersistence.js';
import type { WatchedSource } from './watchStream.js';
import { WatchTask } from './watchTask.js';

/** Dependencies and settings of the client. */
export interface DirectoryClientOptions {
  readonly name: string;
  /** Increases with every start of the process. */
  readonly incarnation: bigint;
  readonly role: Role;
  /** Addresses of control instances, host:port. */
  readonly controls: readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether the view includes instances. */
  readonly includeInstances: boolean;
  /** Services to watch. Default: all. */
  readonly services?: readonly string[];
  /** Folder in which the view is saved for the next start. Default: not saved. */
  readonly folder?: string;
  readonly timing?: Partial<ClientTiming>;
  /** Called when a newer process uses the name; this process must stop. */
  readonly onSuperseded?: () => void;
}

/** Runs one task that watches a source and one that sends heartbeats. */
export class DirectoryClient implements RelayedDirectory {
  /** Addresses of control instances, shared with other calls to them. */
  readonly addresses: ControlAddresses;
  private readonly builder = new ViewBuilder();
  private readonly applier: EventApplier;
  private readonly persistence: ViewPersistence | undefined;
  private readonly knownAddresses: KnownAddresses;
  private readonly listeners = new Set<(view: View) => void>();
  private readonly stopping = new AbortController();
  private readonly timing: ClientTiming;
  private tasks: Promise<void>[] = [];
  private state: AnnouncedState | undefined;
  private heartbeats: HeartbeatTask | undefined;
  private isFromControl = false;
  /** Set when document edits did not apply, so that the next watch asks for full documents. */
  private needsFullDocuments = false;

  constructor(private readonly options: DirectoryClientOptions) {
    const { clock, log, folder, services = [], name } = options;
    this.timing = { ...defaultTiming, ...options.timing };
    this.addresses = new ControlAddresses(options.controls, () => clock.monotonic());
    this.knownAddresses = new KnownAddresses(name, this.addresses);
    this.persistence =
      folder === undefined
        ? undefined
        : new ViewPersistence(new PersistedView(folder, { services }), clock, log);
    this.applier = new EventApplier(this.builder, log, (view) => this.saveDocuments(view));
  }

  /** Restores the saved view and starts the tasks. Does not wait for a control instance. */
  async start(self: () => Announcement): Promise<void> {
    await this.restore();
    const { peers, clock, log, metrics } = this.options;
    const dataCentre = (): string => self().dataCentre;
    const shared = { peers, clock, log, metrics, timing: this.timing, addresses: this.addresses, dataCentre };
    this.state = new AnnouncedState(this.options, self);
    const watch = new WatchTask({
      ...shared,
      request: () => this.request(),
      apply: (event, source) => this.apply(event, source),
      onSourceLost: () => {
        this.sourceLost();
      },
      neighbours: () => this.knownAddresses.neighbours(this.view()),
    });
    this.heartbeats = new HeartbeatTask({
      ...shared,
      state: this.state,
      revision: () => this.view().revision,
      superseded: () => {
        this.superseded();
      },
    });
    const { signal } = this.stopping;
    this.tasks = [watch.run(signal), this.heartbeats.run(signal)];
    for (const task of this.tasks) runCriticalTask('directory', task);
  }

  view(): View {
    return this.builder.view();
  }

  onChange(listener: (view: View) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  vouchedByControl(): boolean {
    return this.isFromControl && this.view().vouched;
  }

  /** Announces a changed state at once. */
  refresh(): void {
    this.heartbeats?.wake();
  }

  /** Announces that the process is leaving. Returns when a control instance acknowledges it, or after 2 s. */
  async leave(): Promise<void> {
    const { clock, log } = this.options;
    if (this.state === undefined || this.heartbeats === undefined) return;
    this.state.leave();
    const done = new AbortController();
    const acknowledged = this.heartbeats
      .waitForAcknowledgement(this.state.currentSequence())
      .then(() => true);
    const timeout = clock.sleep(this.timing.leaveMs, done.signal).then(
      () => false,
      () => false,
    );
    const wasAcknowledged = await Promise.race([acknowledged, timeout]);
    done.abort();
    log.event(wasAcknowledged ? directoryEvents.leaveAcknowledged : directoryEvents.leaveUnacknowledged);
  }

  /** Stops the tasks and writes pending changes to disk. */
  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
    await Promise.all(this.tasks);
    await this.persistence?.close(this.view());
  }

  private async restore(): Promise<void> {
    const before = this.view();
    const kept = (await this.persistence?.load(this.builder)) ?? { controls: [], neighbours: [] };
    this.knownAddresses.restore(kept, this.view());
    this.notify(before);
  }

  private async saveDocuments(view: View): Promise<void> {
    await this.persistence?.saveDocuments(view, this.knownAddresses.toPersist(view));
  }

  private request(): controlMessage.WatchRequest {
    const { name, includeInstances: wantInstances, services = [] } = this.options;
    const view = this.view();
    this.applier.begin();
    return create(controlMessage.WatchRequestSchema, {
      name,
      revision: this.needsFullDocuments ? 0n : view.revision,
      services: [...services],
      instances: wantInstances,
      buckets: wantInstances && view.instances.size > 0 ? bucketDigests(view.instances.values()) : [],
    });
  }

  private async apply(event: controlMessage.WatchEvent, source: WatchedSource): Promise<boolean> {
    const before = this.view();
    const fits = await this.applier.apply(event);
    this.needsFullDocuments = !fits;
    if (!fits) return false;
    this.knownAddresses.setNeighbours(event.neighbours);
    this.isFromControl = source.kind === 'control';
    if (this.view().instances !== before.instances) this.persistence?.scheduleInstances(() => this.view());
    this.notify(before);
    return true;
  }

  private sourceLost(): void {
    const before = this.view();
    this.isFromControl = false;
    this.builder.applyVouched(false);
    this.notify(before);
  }

  private notify(before: View): void {
    const view = this.view();
    if (view === before) return;
    const { metrics } = this.options;
    if (view.documents !== before.documents || view.instances !== before.instances)
      this.knownAddresses.update(view);
    metrics.gauge(directoryMetrics.revision, Number(view.revision));
    metrics.gauge(directoryMetrics.vouched, view.vouched ? 1 : 0);
    metrics.gauge(directoryMetrics.instances, view.instances.size);
    for (const listener of this.listeners) listener(view);
  }

  private superseded(): void {
    this.options.log.event(directoryEvents.superseded);
    this.options.onSuperseded?.();
  }
}
