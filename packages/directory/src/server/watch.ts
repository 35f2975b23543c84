/** One watcher's stream. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { Clock } from '@jasmineroute/core';
import { documentToMessage, instanceToMessage } from '../message/index.js';
import type { Instance } from '../view/index.js';
import type { ChangeSignal } from './changeSignal.js';
import type { InstanceChanges, InstanceFeed } from './instanceFeed.js';
import type { DocumentSource } from './source.js';

/** Time between events when nothing changes, in milliseconds: how a watcher knows that it still hears. */
export const HEARTBEAT_MS = 1_000;
/** Changes within this time go out as one event, in milliseconds. */
const COALESCE_MS = 20;
/** The document that says where control instances are; every watcher gets it. */
const CONTROL_SERVICE = 'control';

/** What all streams of a process share. */
export interface WatchHub {
  readonly documents: DocumentSource;
  readonly instances: InstanceFeed;
  readonly changed: ChangeSignal;
  readonly clock: Clock;
}

/** The events of one watcher, until `signal` is aborted. */
export async function* watchEvents(
  hub: WatchHub,
  request: controlMessage.WatchRequest,
  signal: AbortSignal,
): AsyncGenerator<controlMessage.WatchEvent> {
  const services = new Set(request.services);
  let revision = request.revision;
  let changes = hub.instances.all();
  let first = true;
  while (!signal.aborted) {
    const event = documentEvent(hub.documents, revision, services);
    if (request.instances) addInstances(event, changes, services);
    if (event.revision > revision) revision = event.revision;
    event.snapshot = first && request.instances;
    first = false;
    yield event;
    await hub.changed.wait(hub.clock, HEARTBEAT_MS, signal);
    await hub.changed.wait(hub.clock, COALESCE_MS, signal);
    changes = hub.instances.since(changes.place);
  }
}

function documentEvent(
  documents: DocumentSource,
  revision: bigint,
  services: ReadonlySet<string>,
): controlMessage.WatchEvent {
  const wanted = (service: string): boolean =>
    services.size === 0 || services.has(service) || service === CONTROL_SERVICE;
  return create(controlMessage.WatchEventSchema, {
    documents: documents
      .since(revision)
      .filter(({ service }) => wanted(service))
      .map((document) => documentToMessage(document)),
    revision: documents.revision(),
    vouched: documents.vouched(),
  });
}

function addInstances(
  event: controlMessage.WatchEvent,
  changes: InstanceChanges,
  services: ReadonlySet<string>,
): void {
  const wanted = ({ target }: Instance): boolean =>
    services.size === 0 || target === undefined || services.has(target.service);
  event.instances = changes.changed.filter(wanted).map((instance) => instanceToMessage(instance));
  event.removed = [...changes.removed];
}
