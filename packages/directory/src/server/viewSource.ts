/** Serves a process's own view to its neighbours. */
import type { Clock } from '@jasmineroute/core';
import type { StoredDocument } from '../message/index.js';
import type { Directory, VersionedDocument, View } from '../view/index.js';
import type { DirectorySource, DocumentSource, InstanceSource } from './source.js';

/** A view that knows whether it comes straight from a control instance. */
export interface RelayedDirectory extends Directory {
  /** Whether a control instance in touch with a quorum feeds the view. */
  vouchedByControl(): boolean;
}

/**
 * The view of an entry as a source for `serveDirectory`. It is vouched for only while a control instance feeds it:
 * two neighbours that watch each other would otherwise vouch for each other for good.
 * @param ended aborted when the process stops, so that watchers move on
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

/** Views share the entries that did not change. */
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
