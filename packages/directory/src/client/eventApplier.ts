/** Applies the events of a watch to the view. */
import type { Log } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';
import { directoryEvents } from '../events.js';
import { applyEdits, documentFromMessage, instanceFromMessage, textDigest } from '../message/index.js';
import type { StoredDocument } from '../message/index.js';
import type { View } from '../view/index.js';
import type { InstanceUpdate, ViewBuilder } from './viewBuilder.js';

/** Saves a view with changed documents before it is applied. */
export type PersistView = (view: View) => Promise<void>;

/** Applies events in order. Used by one watch at a time. */
export class EventApplier {
  /** Parts of the initial snapshot, collected until it is complete, so that no partial snapshot becomes visible. */
  private parts: InstanceUpdate[] = [];
  private hasSnapshot = false;
  /** Removals were ignored because the source was not in touch with a quorum. */
  private ignoredRemovals = false;

  constructor(
    private readonly builder: ViewBuilder,
    private readonly log: Log,
    private readonly persist: PersistView,
  ) {}

  /** Resets the state for a new watch. */
  begin(): void {
    this.parts = [];
    this.hasSnapshot = false;
    this.ignoredRemovals = false;
  }

  /**
   * Applies one event.
   * @returns false when a new snapshot is needed: edits did not apply to the local document, or removals were ignored
   * earlier and the source is in touch with a quorum now.
   */
  async apply(event: controlMessage.WatchEvent): Promise<boolean> {
    if (event.vouched && this.ignoredRemovals) return false;
    const documents = this.fullDocuments(event.documents);
    if (documents === undefined) return false;
    await this.applyDocuments(documents, event.revision);
    this.applyInstances(event);
    this.builder.applyVouched(event.vouched);
    return true;
  }

  private async applyDocuments(documents: readonly StoredDocument[], revision: bigint): Promise<void> {
    const { view, unreadable } = this.builder.plan(documents, revision);
    for (const one of unreadable) this.log.event(directoryEvents.documentUnreadable, { ...one });
    if (view.documents !== this.builder.view().documents) await this.persist(view);
    this.builder.applyDocuments(view);
  }

  private applyInstances(event: controlMessage.WatchEvent): void {
    const changed = event.instances.map(instanceFromMessage);
    this.parts.push({ changed, ...this.removalsOf(event) });
    this.hasSnapshot ||= event.snapshot;
    if (!this.hasSnapshot) return;
    this.builder.applyInstances(this.parts);
    this.parts = [];
  }

  /**
   * Removals of an event. Those of a source without a quorum are ignored: it may have just started with an empty view,
   * and two entries that watch each other while no control instance is up would empty each other's views and stop
   * serving.
   */
  private removalsOf({
    vouched,
    removed,
    buckets,
  }: controlMessage.WatchEvent): Omit<InstanceUpdate, 'changed'> {
    if (vouched) return { removed, buckets };
    this.ignoredRemovals ||= removed.length > 0 || buckets.length > 0;
    return { removed: [], buckets: [] };
  }

  /**
   * The newest documents with their full texts. `messages` may contain several changes of one document.
   * @returns undefined when edits do not apply
   */
  private fullDocuments(messages: readonly controlMessage.DocumentVersion[]): StoredDocument[] | undefined {
    const newest = new Map<string, StoredDocument>();
    for (const message of messages) {
      const held = newest.get(message.service) ?? this.held(message.service);
      if (held !== undefined && held.revision >= message.revision) continue;
      const text = message.baseRevision === 0n ? message.text : editedText(message, held);
      if (text === undefined) {
        const { service, revision } = message;
        this.log.event(directoryEvents.documentEditsRejected, { service, revision });
        return undefined;
      }
      newest.set(message.service, documentFromMessage(message, text));
    }
    return [...newest.values()];
  }

  /** The local version of a document. */
  private held(service: string): StoredDocument | undefined {
    const document = this.builder.view().documents.get(service);
    return document === undefined ? undefined : { service, ...document };
  }
}

/** The edited text; undefined if the base revision differs or the digest does not match. */
function editedText(
  message: controlMessage.DocumentVersion,
  base: StoredDocument | undefined,
): string | undefined {
  if (base?.revision !== message.baseRevision) return undefined;
  try {
    const text = applyEdits(base.text, message.edits);
    return Buffer.from(textDigest(text)).equals(message.digest) ? text : undefined;
  } catch {
    return undefined;
  }
}
