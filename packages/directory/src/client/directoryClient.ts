/** Keeps a process's view of documents and instances, and keeps the process known. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import { runLasting } from '@jasmineroute/core';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { ControlAddresses } from '../call/index.js';
import { directoryEvents } from '../events.js';
import { bucketDigests } from '../message/index.js';
import { directoryMetrics } from '../metrics.js';
import type { RelayedDirectory } from '../server/index.js';
import type { Role, View } from '../view/index.js';
import { AnnouncedState } from './announcement.js';
import type { Announcement } from './announcement.js';
import { BeatTask } from './heartbeatTask.js';
import { EventApplier } from './eventApplier.js';
import { KeptState } from './persistedView.js';
import { KnownAddresses } from './knownAddresses.js';
import { defaultTiming } from './timing.js';
import type { ClientTiming } from './timing.js';
import { ViewBuilder } from './viewBuilder.js';
import { ViewKeeper } from './viewPersistence.js';
import type { WatchedSource } from './watchStream.js';
import { WatchTask } from './watchTask.js';

/** What the client needs. */
export interface DirectoryClientOptions {
  readonly name: string;
  /** New for each start of the process; larger is newer. */
  readonly incarnation: bigint;
  readonly role: Role;
  /** Addresses of control instances, host:port. */
  readonly controls: readonly string[];
  readonly peers: Peers;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether the view holds instances too. */
  readonly wantInstances: boolean;
  /** Services of interest; absent: all. */
  readonly services?: readonly string[];
  /** Folder for what is kept over a restart; absent: nothing is. */
  readonly folder?: string;
  readonly timing?: Partial<ClientTiming>;
  /** A newer process has taken the name: this one must stop. */
  readonly onSuperseded?: () => void;
}

/** The client: one task watches, one beats. */
export class DirectoryClient implements RelayedDirectory {
  /** Addresses of control instances, for other calls to them. */
  readonly addresses: ControlAddresses;
  private readonly builder = new ViewBuilder();
  private readonly applier: EventApplier;
  private readonly keeper: ViewKeeper | undefined;
  private readonly known: KnownAddresses;
  private readonly listeners = new Set<(view: View) => void>();
  private readonly stopping = new AbortController();
  private readonly timing: ClientTiming;
  private tasks: Promise<void>[] = [];
  private state: AnnouncedState | undefined;
  private beats: BeatTask | undefined;
  private fromControl = false;
  /** A change did not fit: documents are asked for whole. */
  private wholeWanted = false;

  constructor(private readonly options: DirectoryClientOptions) {
    const { clock, log, folder, services = [], name } = options;
    this.timing = { ...defaultTiming, ...options.timing };
    this.addresses = new ControlAddresses(options.controls, () => clock.monotonic());
    this.known = new KnownAddresses(name, this.addresses);
    this.keeper =
      folder === undefined ? undefined : new ViewKeeper(new KeptState(folder, { services }), clock, log);
    this.applier = new EventApplier(this.builder, log, (view) => this.keep(view));
  }

  /** Loads what was kept and starts the tasks. Returns soon, also with control out of reach. */
  async start(self: () => Announcement): Promise<void> {
    await this.load();
    const { peers, clock, log, metrics } = this.options;
    const dataCentre = (): string => self().dataCentre;
    const shared = { peers, clock, log, metrics, timing: this.timing, addresses: this.addresses, dataCentre };
    this.state = new AnnouncedState(this.options, self);
    const watch = new WatchTask({
      ...shared,
      request: () => this.request(),
      apply: (event, source) => this.apply(event, source),
      lost: () => {
        this.sourceLost();
      },
      neighbours: () => this.known.neighbours(this.view()),
    });
    this.beats = new BeatTask({
      ...shared,
      state: this.state,
      revision: () => this.view().revision,
      superseded: () => {
        this.superseded();
      },
    });
    const { signal } = this.stopping;
    this.tasks = [watch.run(signal), this.beats.run(signal)];
    for (const task of this.tasks) runLasting('directory', task);
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
    return this.fromControl && this.view().vouched;
  }

  /** Announces a changed self at once. */
  refresh(): void {
    this.beats?.wake();
  }

  /** Announces that the process is leaving. Returns when a control instance heard it, or after 2 s. */
  async leave(): Promise<void> {
    const { clock, log } = this.options;
    if (this.state === undefined || this.beats === undefined) return;
    this.state.leave();
    const done = new AbortController();
    const heard = this.beats.taken(this.state.current()).then(() => true);
    const late = clock.sleep(this.timing.leaveMs, done.signal).then(
      () => false,
      () => false,
    );
    const wasHeard = await Promise.race([heard, late]);
    done.abort();
    log.event(wasHeard ? directoryEvents.leaveAcknowledged : directoryEvents.leaveUnacknowledged);
  }

  /** Ends the tasks and writes what waits to be kept. */
  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
    await Promise.all(this.tasks);
    await this.keeper?.close(this.view());
  }

  private async load(): Promise<void> {
    const before = this.view();
    const kept = (await this.keeper?.load(this.builder)) ?? { controls: [], neighbours: [] };
    this.known.restore(kept, this.view());
    this.tell(before);
  }

  private async keep(view: View): Promise<void> {
    await this.keeper?.keepDocuments(view, this.known.toKeep(view));
  }

  private request(): controlMessage.WatchRequest {
    const { name, wantInstances, services = [] } = this.options;
    const view = this.view();
    this.applier.begin();
    return create(controlMessage.WatchRequestSchema, {
      name,
      revision: this.wholeWanted ? 0n : view.revision,
      services: [...services],
      instances: wantInstances,
      buckets: wantInstances && view.instances.size > 0 ? bucketDigests(view.instances.values()) : [],
    });
  }

  private async apply(event: controlMessage.WatchEvent, source: WatchedSource): Promise<boolean> {
    const before = this.view();
    const fits = await this.applier.apply(event);
    this.wholeWanted = !fits;
    if (!fits) return false;
    this.known.tell(event.neighbours);
    this.fromControl = source.kind === 'control';
    if (this.view().instances !== before.instances) this.keeper?.keepInstances(() => this.view());
    this.tell(before);
    return true;
  }

  private sourceLost(): void {
    const before = this.view();
    this.fromControl = false;
    this.builder.applyVouched(false);
    this.tell(before);
  }

  private tell(before: View): void {
    const view = this.view();
    if (view === before) return;
    const { metrics } = this.options;
    if (view.documents !== before.documents || view.instances !== before.instances) this.known.follow(view);
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
