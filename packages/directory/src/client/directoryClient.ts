/** Keeps a process's view of documents and instances, and keeps the process known. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { Peers } from '@jasmineroute/protocol';
import type { Clock, Log, Metrics } from '@jasmineroute/core';
import { ControlAddresses } from '../call/index.js';
import { directoryEvents } from '../events.js';
import { documentFromMessage, instanceFromMessage } from '../message/index.js';
import { directoryMetrics } from '../metrics.js';
import type { Directory, Role, View } from '../view/index.js';
import { AnnouncedState } from './announcement.js';
import type { Announcement } from './announcement.js';
import { BeatTask } from './beatTask.js';
import { defaultTiming } from './timing.js';
import type { ClientTiming } from './timing.js';
import { ViewBuilder } from './viewBuilder.js';
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
export class DirectoryClient implements Directory {
  /** Addresses of control instances, for other calls to them. */
  readonly addresses: ControlAddresses;
  private readonly builder = new ViewBuilder();
  private readonly listeners = new Set<(view: View) => void>();
  private readonly stopping = new AbortController();
  private readonly timing: ClientTiming;
  private tasks: Promise<void>[] = [];
  private state: AnnouncedState | undefined;
  private beats: BeatTask | undefined;
  private fromControl = false;

  constructor(private readonly options: DirectoryClientOptions) {
    this.timing = { ...defaultTiming, ...options.timing };
    this.addresses = new ControlAddresses(options.controls, () => options.clock.monotonic());
  }

  /** Loads what was kept and starts the tasks. Returns soon, also with control out of reach. */
  start(self: () => Announcement): Promise<void> {
    const { peers, clock, log, metrics } = this.options;
    const dataCentre = (): string => self().dataCentre;
    const shared = { peers, clock, log, metrics, timing: this.timing, addresses: this.addresses, dataCentre };
    const state = new AnnouncedState(this.options, self);
    const beats = new BeatTask({
      ...shared,
      state,
      revision: () => this.view().revision,
      superseded: () => {
        this.superseded();
      },
    });
    const watch = new WatchTask({
      ...shared,
      request: () => this.request(),
      apply: (event, fromControl) => this.apply(event, fromControl),
      lost: () => {
        this.sourceLost();
      },
      neighbours: () => [],
    });
    this.state = state;
    this.beats = beats;
    const { signal } = this.stopping;
    this.tasks = [watch.run(signal), beats.run(signal)];
    return Promise.resolve();
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

  /** Whether the view comes straight from a control instance that is in touch with a quorum. */
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
    const given = new AbortController();
    const heard = this.beats.taken(this.state.current()).then(() => true);
    const late = clock.sleep(this.timing.leaveMs, given.signal).then(
      () => false,
      () => false,
    );
    const wasHeard = await Promise.race([heard, late]);
    given.abort();
    log.event(wasHeard ? directoryEvents.leaveHeard : directoryEvents.leaveUnheard);
  }

  /** Ends the tasks. */
  async stop(): Promise<void> {
    this.stopping.abort(new Error('stopped'));
    await Promise.all(this.tasks);
  }

  private request(): controlMessage.WatchRequest {
    const { name, wantInstances, services } = this.options;
    return create(controlMessage.WatchRequestSchema, {
      name,
      revision: this.view().revision,
      services: [...(services ?? [])],
      instances: wantInstances,
    });
  }

  private apply(event: controlMessage.WatchEvent, fromControl: boolean): boolean {
    const before = this.view();
    const documents = event.documents.map((message) => documentFromMessage(message));
    for (const unreadable of this.builder.applyDocuments(documents, event.revision)) {
      this.options.log.event(directoryEvents.documentUnreadable, { ...unreadable });
    }
    this.builder.applyInstances({
      changed: event.instances.map(instanceFromMessage),
      removed: event.removed,
      complete: event.snapshot,
    });
    this.builder.applyVouched(event.vouched);
    this.fromControl = fromControl;
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
    if (view.documents !== before.documents || view.instances !== before.instances) this.learn(view);
    metrics.gauge(directoryMetrics.revision, Number(view.revision));
    metrics.gauge(directoryMetrics.vouched, view.vouched ? 1 : 0);
    metrics.gauge(directoryMetrics.instances, view.instances.size);
    for (const listener of this.listeners) listener(view);
  }

  /** Control instances can be replaced: the documents say where they are now. */
  private learn(view: View): void {
    const found = new Map<string, string>();
    const control = view.documents.get('control')?.document;
    if (control?.kind === 'control') for (const { address } of control.replicas) found.set(address, '');
    for (const { role, address, dataCentre, health } of view.instances.values()) {
      if (role === 'control' && health !== 'down') found.set(address, dataCentre);
    }
    this.addresses.learn(found);
  }

  private superseded(): void {
    this.options.log.event(directoryEvents.superseded);
    this.options.onSuperseded?.();
  }
}
