/** Serves documents and instances to other processes. */
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import { controlMessage } from '@jasmineroute/protocol';
import { ChangeSignal } from './changeSignal.js';
import { InstanceFeed } from './instanceFeed.js';
import type { DirectorySource } from './source.js';
import { watchEvents } from './watch.js';

/** Adds Watch, and Beat where beats are taken, to a process's RPC server. */
export function serveDirectory(router: ConnectRouter, source: DirectorySource): void {
  const changed = new ChangeSignal();
  const instances = new InstanceFeed(source.instances);
  const hub = { documents: source.documents, instances, changed, clock: source.clock };
  source.documents.onChange(() => {
    changed.raise();
  });
  source.instances.onChange(() => {
    changed.raise();
  });
  router.service(controlMessage.Directory, {
    watch: (request, context) => watchEvents(hub, request, context.signal),
    beat: (request) => {
      if (source.beats !== undefined) return source.beats.beat(request);
      throw new ConnectError('beats are taken by control instances', Code.Unimplemented);
    },
  });
}
