/** One watcher's stream. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { Clock } from '@jasmineroute/core';
import { CONTROL_SERVICE, instanceToMessage } from '../message/index.js';
import type { Instance } from '../view/index.js';
import type { ChangeSignal } from './changeSignal.js';
import type { DocumentFeed } from './documentFeed.js';
import type { Semaphore } from './semaphore.js';
import type { InstanceFeed, InstanceFilter } from './instanceFeed.js';

/** Time between events when nothing changes, in milliseconds: how a watcher knows that it still hears. */
export const HEARTBEAT_MS = 1_000;
/** Changes within this time go out as one event, in milliseconds. */
const COALESCE_MS = 20;
/**
 * Shortest time between two events that tell of instances only, in milliseconds. When thousands of processes start
 * together, each is news to each other one: without a bound, telling of them one by one takes all the processor time
 * of the control instances, beats go unanswered, and the herd starts over.
 */
const INSTANCE_INTERVAL_MS = 300;
/** Entries that a watcher is told of, to ask while no control instance can be reached. */
const NEIGHBOURS = 8;
/** Events between two tellings of entries: about a minute of heartbeats. */
const NEIGHBOUR_EVENTS = 60;

type WatchEvent = controlMessage.WatchEvent;

/** What all streams of a process share. */
export interface WatchHub {
  readonly documents: DocumentFeed;
  readonly instances: InstanceFeed;
  readonly changed: ChangeSignal;
  /** Bounds the streams that are brought up to date at one time. */
  readonly comparisons: Semaphore;
  readonly clock: Clock;
}

/** The stream of one watcher. */
export class WatcherStream {
  private readonly services: ReadonlySet<string>;
  private revision: bigint;
  private vouched = false;
  private place = 0;
  private sent = 0;

  constructor(
    private readonly hub: WatchHub,
    private readonly request: controlMessage.WatchRequest,
  ) {
    this.services = new Set(request.services);
    this.revision = request.revision;
  }

  /** What differs from the watcher's state, then changes as they come, until `signal` is aborted. */
  async *events(signal: AbortSignal): AsyncGenerator<WatchEvent> {
    const { changed, clock } = this.hub;
    yield* this.admitted(signal);
    while (!signal.aborted) {
      const sentAt = clock.monotonic();
      if (!this.hasNews()) await changed.wait(clock, HEARTBEAT_MS, signal);
      await clock.sleep(COALESCE_MS, signal).catch(() => undefined);
      await this.awaitInterval(sentAt, signal);
      yield* this.changes();
    }
  }

  /** Waits until instances may be told of again, or something else is to be told. */
  private async awaitInterval(sentAt: number, signal: AbortSignal): Promise<void> {
    const { changed, clock } = this.hub;
    const due = sentAt + INSTANCE_INTERVAL_MS;
    for (;;) {
      const left = due - clock.monotonic();
      if (left <= 0 || this.hasUrgentNews() || signal.aborted) return;
      await changed.wait(clock, left, signal);
    }
  }

  private hasUrgentNews(): boolean {
    const { documents } = this.hub;
    return documents.revision() > this.revision || documents.vouched() !== this.vouched;
  }

  /**
   * Whether something changed while the last event was on its way out. Nobody waited for the signal then, so without
   * this look the change would stay until the next heartbeat.
   */
  private hasNews(): boolean {
    return this.hasUrgentNews() || (this.request.instances && this.hub.instances.end() > this.place);
  }

  /**
   * Brings the watcher up to date when it is its turn. A herd that returns at one time would otherwise share the
   * processor so that none is served before it gives up and comes again. Heartbeats keep those that wait.
   */
  private async *admitted(signal: AbortSignal): AsyncGenerator<WatchEvent> {
    const { comparisons, documents } = this.hub;
    let release = comparisons.acquire();
    while (release === undefined) {
      if (signal.aborted) return;
      yield create(controlMessage.WatchEventSchema, { vouched: documents.vouched() });
      await comparisons.wait(HEARTBEAT_MS, signal);
      release = comparisons.acquire();
    }
    try {
      yield* this.compared(this.request.buckets);
    } finally {
      release();
    }
  }

  /** Sends the documents, and the instances that differ in parts; the last event is marked. */
  private *compared(digests: readonly number[]): Generator<WatchEvent> {
    this.place = this.hub.instances.end();
    const parts = this.request.instances ? this.hub.instances.differing(digests, this.wanted) : [];
    for (const [index, { buckets, instances }] of parts.entries()) {
      const event = this.event();
      event.buckets = [...buckets];
      event.instances = instances.map((instance) => instanceToMessage(instance));
      event.snapshot = index === parts.length - 1;
      yield event;
    }
    if (parts.length === 0) yield { ...this.event(), snapshot: true };
  }

  private *changes(): Generator<WatchEvent> {
    if (!this.request.instances) {
      yield this.event();
      return;
    }
    const { instances } = this.hub;
    const end = instances.end();
    const changes = instances.since(this.place, this.wanted);
    if (changes === undefined) {
      yield* this.compared([]);
      return;
    }
    this.place = end;
    const event = this.event();
    event.instances = changes.changed.map((instance) => instanceToMessage(instance));
    event.removed = [...changes.removed];
    yield event;
  }

  /** An event with the documents that the watcher lacks. */
  private event(): WatchEvent {
    const { documents, instances } = this.hub;
    const event = create(controlMessage.WatchEventSchema, {
      documents: documents.since(this.revision, (service) => this.wantsService(service)),
      revision: documents.revision(),
      vouched: documents.vouched(),
      neighbours: this.sent % NEIGHBOUR_EVENTS === 0 ? instances.someEntries(NEIGHBOURS) : [],
    });
    this.sent += 1;
    this.vouched = event.vouched;
    if (event.revision > this.revision) this.revision = event.revision;
    return event;
  }

  private wantsService(service: string): boolean {
    return this.services.size === 0 || this.services.has(service) || service === CONTROL_SERVICE;
  }

  private readonly wanted: InstanceFilter = ({ target }: Instance) =>
    target === undefined || this.wantsService(target.service);
}
