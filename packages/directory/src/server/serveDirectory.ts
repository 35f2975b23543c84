/** Serves documents and instances to other processes. */
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import { controlMessage } from '@jasmineroute/protocol';
import { ChangeSignal } from './changeSignal.js';
import { DocumentFeed } from './documentFeed.js';
import { InstanceFeed } from './instanceFeed.js';
import { Semaphore } from './semaphore.js';
import type { DirectorySource } from './source.js';
import { WatcherStream } from './watcherStream.js';
import type { WatchHub } from './watcherStream.js';

/** Maximum number of streams that receive their initial snapshot concurrently. */
const MAX_CONCURRENT_COMPARISONS = 8;

/**
 * Registers Watch, and Beat if the source receives heartbeats, on a process's RPC server. Watches end when
 * `source.ended` is aborted.
 */
export function serveDirectory(router: ConnectRouter, source: DirectorySource): void {
  const hub = hubOf(source);
  const { heartbeats: beats, ended } = source;
  router.service(controlMessage.Directory, {
    watch: (request, { signal }) => {
      const both = ended === undefined ? signal : AbortSignal.any([signal, ended]);
      return new WatcherStream(hub, request).events(both);
    },
    beat: (request) => {
      if (beats !== undefined) return beats.beat(request);
      throw new ConnectError('only control instances accept heartbeats', Code.Unimplemented);
    },
  });
}

function hubOf(source: DirectorySource): WatchHub {
  const changed = new ChangeSignal();
  // The feed registers its listener first, so that it contains the change when a stream wakes up.
  const instances = new InstanceFeed(source.instances);
  const wake = (): void => {
    changed.raise();
  };
  source.documents.onChange(wake);
  source.instances.onChange(wake);
  const documents = new DocumentFeed(source.documents);
  return {
    documents,
    instances,
    changed,
    comparisons: new Semaphore(MAX_CONCURRENT_COMPARISONS, source.clock),
    clock: source.clock,
  };
}
