/** Builds the view out of what arrives. */
import { parseDocument } from '@jasmineroute/document';
import type { StoredDocument } from '../message/index.js';
import { emptyView } from '../view/index.js';
import type { Instance, VersionedDocument, View } from '../view/index.js';

/** Instances that arrived together. */
export interface InstanceUpdate {
  readonly changed: readonly Instance[];
  readonly removed: readonly string[];
  /** `changed` is all there is: what is missing is gone. */
  readonly complete: boolean;
}

/** A document that was accepted but cannot be read here. */
export interface UnreadableDocument {
  readonly service: string;
  readonly revision: bigint;
  readonly problems: readonly string[];
}

/**
 * The newest view and the ways to move it on. Views that were given out stay as they are: a part that changes
 * is copied, and the parts and entries that do not are shared.
 */
export class ViewBuilder {
  private current: View = emptyView;
  private readonly unreadable = new Map<string, bigint>();

  /** The newest view. */
  view(): View {
    return this.current;
  }

  /**
   * Takes documents up to and with `revision`. Older versions than those held are passed over: a source that
   * lags, or one that was restored from a copy, would otherwise put an old document back in force. A document
   * that cannot be read leaves the older one in force, and the view's revision below its own, so that it shows.
   */
  applyDocuments(documents: readonly StoredDocument[], revision: bigint): UnreadableDocument[] {
    const unreadable: UnreadableDocument[] = [];
    let next: Map<string, VersionedDocument> | undefined;
    for (const stored of documents) {
      if (!this.isNewer(stored)) continue;
      const parsed = parseDocument(stored.text);
      if (parsed.isErr()) {
        const problems = parsed.error.map(({ path, message }) => `${path}: ${message}`);
        unreadable.push({ service: stored.service, revision: stored.revision, problems });
        this.unreadable.set(stored.service, stored.revision);
        continue;
      }
      this.unreadable.delete(stored.service);
      next ??= new Map(this.current.documents);
      next.set(stored.service, versioned(stored, parsed.value));
    }
    this.moveOn(next, revision);
    return unreadable;
  }

  /** Takes instances. */
  applyInstances(update: InstanceUpdate): void {
    if (!update.complete && update.changed.length === 0 && update.removed.length === 0) return;
    const instances = new Map(update.complete ? [] : this.current.instances);
    for (const name of update.removed) instances.delete(name);
    for (const instance of update.changed) instances.set(instance.name, instance);
    this.current = { ...this.current, instances };
  }

  /** Takes whether the source is in touch with a quorum. */
  applyVouched(vouched: boolean): void {
    if (vouched !== this.current.vouched) this.current = { ...this.current, vouched };
  }

  private isNewer(stored: StoredDocument): boolean {
    const held = this.current.documents.get(stored.service);
    return held === undefined || stored.revision > held.revision;
  }

  private moveOn(documents: Map<string, VersionedDocument> | undefined, revision: bigint): void {
    let reached = revision;
    for (const blocked of this.unreadable.values()) {
      if (blocked <= reached) reached = blocked - 1n;
    }
    if (reached < this.current.revision) reached = this.current.revision;
    if (documents === undefined && reached === this.current.revision) return;
    this.current = { ...this.current, documents: documents ?? this.current.documents, revision: reached };
  }
}

function versioned(stored: StoredDocument, document: VersionedDocument['document']): VersionedDocument {
  const { version, text, operator, acceptedAt, revision } = stored;
  return { version, document, text, operator, acceptedAt, revision };
}
