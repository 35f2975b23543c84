/** Builds the view out of what arrives. */
import { readAccepted } from '@jasmineroute/document';
import type { StoredDocument } from '../message/index.js';
import { bucketOf } from '../message/index.js';
import { emptyView } from '../view/index.js';
import type { Instance, VersionedDocument, View } from '../view/index.js';
import { Interner } from './interner.js';

/** Instances that arrived together. */
export interface InstanceUpdate {
  readonly changed: readonly Instance[];
  readonly removed: readonly string[];
  /** Buckets of names that `changed` holds completely: what is missing of these is gone. */
  readonly buckets: readonly number[];
}

/** A document that was accepted but cannot be read here. */
export interface UnreadableDocument {
  readonly service: string;
  readonly revision: bigint;
  readonly problems: readonly string[];
}

/** What taking documents comes to. */
export interface DocumentStep {
  /** The view with them. */
  readonly view: View;
  readonly unreadable: readonly UnreadableDocument[];
}

/**
 * The newest view and the ways to move it on. Views that were given out stay as they are: a part that changes
 * is copied, and the parts and entries that do not are shared.
 */
export class ViewBuilder {
  private current: View = emptyView;
  private readonly unreadable = new Map<string, bigint>();
  private readonly interner = new Interner();

  /** The newest view. */
  view(): View {
    return this.current;
  }

  /**
   * Works out the view with documents up to and with `revision`; `put` puts it in force. Older versions than those
   * held are passed over: a source that lags, or one that was restored from a copy, would otherwise put an old
   * document back in force. A document that cannot be read leaves the older one in force, and the view's revision
   * below its own, so that it shows.
   */
  plan(documents: readonly StoredDocument[], revision: bigint): DocumentStep {
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
    const reached = this.reached(revision);
    if (!changed && reached === this.current.revision) return { view: this.current, unreadable };
    const view = { ...this.current, documents: changed ? next : this.current.documents, revision: reached };
    return { view, unreadable };
  }

  /** Puts the documents of a planned view in force. */
  put({ documents, revision }: View): void {
    const { current } = this;
    if (documents === current.documents && revision === current.revision) return;
    this.current = { ...current, documents, revision };
  }

  /** Takes instances, those of several events at once. */
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

  /** Takes whether the source is in touch with a quorum. */
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
