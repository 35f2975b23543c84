/** Event stream of one watcher. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { Clock } from '@jasmineroute/core';
import { CONTROL_SERVICE, instanceToMessage } from '../message/index.js';
import type { Instance } from '../view/index.js';
import type { ChangeSignal } from './changeSignal.js';
import type { DocumentFeed } from './documentFeed.js';
import type { Semaphore } from './semaphore.js';
import type { InstanceFeed, InstanceFilter } from './instanceFeed.js';

/** Interval between events without changes, in milliseconds. They show a watcher that its stream works. */
export const KEEP_ALIVE_MS = 1_000;
/** Changes within this time are sent as one event, in milliseconds. */
const COALESCE_MS = 20;
/**
 * Minimum interval between events that contain only instance changes, in milliseconds. When thousands of processes
 * start together, each is a change for every other one. Without this limit, sending the changes one by one would use
 * all processor time of the control instances, heartbeats would time out, and the processes would reconnect at once.
 */
const INSTANCE_INTERVAL_MS = 300;
/** Number of entries sent to a watcher as alternative sources while no control instance is reachable. */
const NEIGHBOUR_COUNT = 8;
/** Events between two lists of entries: about a minute of keep-alive events. */
const EVENTS_PER_NEIGHBOUR_LIST = 60;

type WatchEvent = controlMessage.WatchEvent;

/** State shared by all streams of a process. */
export interface WatchHub {
  readonly documents: DocumentFeed;
  readonly instances: InstanceFeed;
  readonly changed: ChangeSignal;
  /** Limits the streams that receive their initial snapshot concurrently. */
  readonly comparisons: Semaphore;
  readonly clock: Clock;
}

/** Sends a snapshot and then changes to one watcher. */
export class WatcherStream {
  private readonly services: ReadonlySet<string>;
  private revision: bigint;
  private vouched = false;
  private position = 0;
  private eventCount = 0;

  constructor(
    private readonly hub: WatchHub,
    private readonly request: controlMessage.WatchRequest,
  ) {
    this.services = new Set(request.services);
    this.revision = request.revision;
  }

  /** Yields the differences from the watcher's state, then changes as they occur, until `signal` is aborted. */
  async *events(signal: AbortSignal): AsyncGenerator<WatchEvent> {
    const { changed, clock } = this.hub;
    yield* this.catchUp(signal);
    while (!signal.aborted) {
      const sentAt = clock.monotonic();
      if (!this.hasChanges()) await changed.wait(clock, KEEP_ALIVE_MS, signal);
      await clock.sleep(COALESCE_MS, signal).catch(() => undefined);
      await this.awaitInterval(sentAt, signal);
      yield* this.changes();
    }
  }

  /** Waits until instance changes may be sent again, or until a document or quorum change is pending. */
  private async awaitInterval(sentAt: number, signal: AbortSignal): Promise<void> {
    const { changed, clock } = this.hub;
    const due = sentAt + INSTANCE_INTERVAL_MS;
    for (;;) {
      const left = due - clock.monotonic();
      if (left <= 0 || this.hasUrgentChanges() || signal.aborted) return;
      await changed.wait(clock, left, signal);
    }
  }

  private hasUrgentChanges(): boolean {
    const { documents } = this.hub;
    return documents.revision() > this.revision || documents.vouched() !== this.vouched;
  }

  /**
   * Whether something changed while the last event was being sent. The stream does not wait for the change signal
   * during that time, so without this check the change would be delayed until the next keep-alive event.
   */
  private hasChanges(): boolean {
    return (
      this.hasUrgentChanges() || (this.request.instances && this.hub.instances.endPosition() > this.position)
    );
  }

  /**
   * Sends the initial snapshot when a permit is free. If many watchers returned at once without this limit, none would
   * be served before it times out and reconnects. Keep-alive events prevent those that wait from timing out.
   */
  private async *catchUp(signal: AbortSignal): AsyncGenerator<WatchEvent> {
    const { comparisons, documents } = this.hub;
    let release = comparisons.acquire();
    while (release === undefined) {
      if (signal.aborted) return;
      yield create(controlMessage.WatchEventSchema, { vouched: documents.vouched() });
      await comparisons.wait(KEEP_ALIVE_MS, signal);
      release = comparisons.acquire();
    }
    try {
      yield* this.snapshot(this.request.buckets);
    } finally {
      release();
    }
  }

  /** Yields the documents and, in parts, the differing instances; the last event is marked as `snapshot`. */
  private *snapshot(digests: readonly number[]): Generator<WatchEvent> {
    this.position = this.hub.instances.endPosition();
    const parts = this.request.instances ? this.hub.instances.differingBuckets(digests, this.wanted) : [];
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
    const end = instances.endPosition();
    const changes = instances.since(this.position, this.wanted);
    if (changes === undefined) {
      yield* this.snapshot([]);
      return;
    }
    this.position = end;
    const event = this.event();
    event.instances = changes.changed.map((instance) => instanceToMessage(instance));
    event.removed = [...changes.removed];
    yield event;
  }

  /** Creates an event with the documents that the watcher does not have yet. */
  private event(): WatchEvent {
    const { documents, instances } = this.hub;
    const event = create(controlMessage.WatchEventSchema, {
      documents: documents.since(this.revision, (service) => this.wantsService(service)),
      revision: documents.revision(),
      vouched: documents.vouched(),
      neighbours:
        this.eventCount % EVENTS_PER_NEIGHBOUR_LIST === 0 ? instances.randomEntries(NEIGHBOUR_COUNT) : [],
    });
    this.eventCount += 1;
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
