/** Builds the view from received documents and instances. */
import { readAccepted } from '@jasmineroute/document';
import type { StoredDocument } from '../message/index.js';
import { bucketOf } from '../message/index.js';
import { emptyView } from '../view/index.js';
import type { Instance, VersionedDocument, View } from '../view/index.js';
import { Interner } from './interner.js';

/** Instance changes of one event. */
export interface InstanceUpdate {
  readonly changed: readonly Instance[];
  readonly removed: readonly string[];
  /** Buckets that `changed` lists completely: an instance of these that is missing was removed. */
  readonly buckets: readonly number[];
}

/** An accepted document that this process cannot parse. */
export interface UnreadableDocument {
  readonly service: string;
  readonly revision: bigint;
  readonly problems: readonly string[];
}

/** Result of planning a document update. */
export interface DocumentPlan {
  /** The view after the update. */
  readonly view: View;
  readonly unreadable: readonly UnreadableDocument[];
}

/** Holds the newest view and updates it. Views are immutable: changed parts are copied, unchanged ones are shared. */
export class ViewBuilder {
  private current: View = emptyView;
  private readonly unreadable = new Map<string, bigint>();
  private readonly interner = new Interner();

  /** The newest view. */
  view(): View {
    return this.current;
  }

  /**
   * Computes the view with documents up to and including `revision`; `applyDocuments` applies it. Versions older than
   * the local ones are ignored: a source that lags behind or was restored from a backup would otherwise bring back an
   * old document. When a document cannot be read, the previous version stays and the view's revision remains below that
   * of the unreadable one, which makes the problem visible.
   */
  plan(documents: readonly StoredDocument[], revision: bigint): DocumentPlan {
    const unreadable: UnreadableDocument[] = [];
    const next = new Map(this.current.documents);
    let changed = false;
    for (const stored of documents) {
      const held = next.get(stored.service);
      if (held !== undefined && stored.revision <= held.revision) continue;
      const parsed = readAccepted(stored.text);
      if (parsed.isErr()) {
        const problems = parsed.error.map(({ path, message }) => `${path}: ${message}`);
        unreadable.push({ service: stored.service, revision: stored.revision, problems });
        this.unreadable.set(stored.service, stored.revision);
        continue;
      }
      this.unreadable.delete(stored.service);
      next.set(stored.service, versioned(stored, parsed.value));
      changed = true;
    }
    const appliedRevision = this.reached(revision);
    if (!changed && appliedRevision === this.current.revision) return { view: this.current, unreadable };
    const view = {
      ...this.current,
      documents: changed ? next : this.current.documents,
      revision: appliedRevision,
    };
    return { view, unreadable };
  }

  /** Applies the documents of a planned view. */
  applyDocuments({ documents, revision }: View): void {
    const { current } = this;
    if (documents === current.documents && revision === current.revision) return;
    this.current = { ...current, documents, revision };
  }

  /** Applies the instance changes of one or more events. */
  applyInstances(updates: readonly InstanceUpdate[]): void {
    if (updates.every(isEmpty)) return;
    const instances = new Map(this.current.instances);
    for (const { changed, removed, buckets } of updates) {
      const complete = new Set(buckets);
      if (complete.size > 0) {
        for (const name of instances.keys()) if (complete.has(bucketOf(name))) instances.delete(name);
      }
      for (const name of removed) instances.delete(name);
      for (const instance of changed) instances.set(instance.name, this.interner.instance(instance));
    }
    this.current = { ...this.current, instances };
  }

  /** Records whether the source is in touch with a quorum. */
  applyVouched(vouched: boolean): void {
    if (vouched !== this.current.vouched) this.current = { ...this.current, vouched };
  }

  private reached(revision: bigint): bigint {
    let reached = revision;
    for (const blocked of this.unreadable.values()) {
      if (blocked <= reached) reached = blocked - 1n;
    }
    return reached > this.current.revision ? reached : this.current.revision;
  }
}

function isEmpty({ changed, removed, buckets }: InstanceUpdate): boolean {
  return changed.length === 0 && removed.length === 0 && buckets.length === 0;
}

function versioned(stored: StoredDocument, document: VersionedDocument['document']): VersionedDocument {
  const { version, text, operator, acceptedAt, revision } = stored;
  return { version, document, text, operator, acceptedAt, revision };
}
