/** Serves a process's own view to its neighbours. */
import type { Clock } from '@jasmineroute/core';
import type { StoredDocument } from '../message/index.js';
import type { Directory, VersionedDocument, View } from '../view/index.js';
import type { DirectorySource, DocumentSource, InstanceSource } from './source.js';

/** A view that tracks whether it comes directly from a control instance. */
export interface RelayedDirectory extends Directory {
  /** Whether the view is updated by a control instance that is in touch with a quorum. */
  vouchedByControl(): boolean;
}

/**
 * The view of an entry as a source for `serveDirectory`. Its `vouched` is true only while a control instance updates
 * the view; otherwise two neighbours that watch each other would confirm each other indefinitely.
 * @param ended aborted when the process stops, so that watchers switch to another source
 */
export function viewSource(directory: RelayedDirectory, clock: Clock, ended?: AbortSignal): DirectorySource {
  return { documents: documentsOf(directory), instances: instancesOf(directory), clock, ended };
}

function documentsOf(directory: RelayedDirectory): DocumentSource {
  return {
    revision: () => directory.view().revision,
    since: (revision) => {
      const documents = [...directory.view().documents].map(([service, document]) =>
        stored(service, document),
      );
      return documents.filter((document) => document.revision > revision);
    },
    onChange: (listener) => {
      let before = directory.view();
      return directory.onChange((view) => {
        const same = view.documents === before.documents && view.vouched === before.vouched;
        before = view;
        if (!same) listener();
      });
    },
    vouched: () => directory.vouchedByControl(),
  };
}

function stored(service: string, document: VersionedDocument): StoredDocument {
  const { version, text, operator, acceptedAt, revision } = document;
  return { service, version, text, operator, acceptedAt, revision };
}

function instancesOf(directory: Directory): InstanceSource {
  return {
    current: () => directory.view().instances,
    onChange: (listener) => {
      let before = directory.view();
      return directory.onChange((view) => {
        const names = changedNames(before, view);
        before = view;
        if (names.length > 0) listener(names);
      });
    },
  };
}

/** Compares by identity, as views share unchanged instances. */
function changedNames(before: View, after: View): string[] {
  if (before.instances === after.instances) return [];
  const names: string[] = [];
  for (const [name, instance] of after.instances) {
    if (before.instances.get(name) !== instance) names.push(name);
  }
  for (const name of before.instances.keys()) {
    if (!after.instances.has(name)) names.push(name);
  }
  return names;
}
