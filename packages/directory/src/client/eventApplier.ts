/** Turns the events of a watch into the view. */
import type { Log } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';
import { directoryEvents } from '../events.js';
import { applyEdits, documentFromMessage, instanceFromMessage, textDigest } from '../message/index.js';
import type { StoredDocument } from '../message/index.js';
import type { View } from '../view/index.js';
import type { InstanceUpdate, ViewBuilder } from './viewBuilder.js';

/** Called with a view whose documents are new, before it is in force. */
export type Keep = (view: View) => Promise<void>;

/** Applies events in their order. One watch at a time uses it. */
export class EventApplier {
  /** Parts of the first comparison, held until all have come, so that the view is never half of one. */
  private parts: InstanceUpdate[] = [];
  private compared = false;
  /** The source left instances out while it did not vouch. */
  private withheld = false;

  constructor(
    private readonly builder: ViewBuilder,
    private readonly log: Log,
    private readonly keep: Keep,
  ) {}

  /** A new watch begins. */
  begin(): void {
    this.parts = [];
    this.compared = false;
    this.withheld = false;
  }

  /**
   * @returns false when the whole must be asked for: an edit did not fit the document held here, or the source vouches
   * now and had left instances out before.
   */
  async apply(event: controlMessage.WatchEvent): Promise<boolean> {
    if (event.vouched && this.withheld) return false;
    const documents = this.texts(event.documents);
    if (documents === undefined) return false;
    await this.applyDocuments(documents, event.revision);
    this.applyInstances(event);
    this.builder.applyVouched(event.vouched);
    return true;
  }

  private async applyDocuments(documents: readonly StoredDocument[], revision: bigint): Promise<void> {
    const { view, unreadable } = this.builder.plan(documents, revision);
    for (const one of unreadable) this.log.event(directoryEvents.documentUnreadable, { ...one });
    if (view.documents !== this.builder.view().documents) await this.keep(view);
    this.builder.put(view);
  }

  private applyInstances(event: controlMessage.WatchEvent): void {
    const changed = event.instances.map(instanceFromMessage);
    this.parts.push({ changed, ...this.leftOut(event) });
    this.compared ||= event.snapshot;
    if (!this.compared) return;
    this.builder.applyInstances(this.parts);
    this.parts = [];
  }

  /**
   * What a source says is gone. Without a quorum behind it, it may just have started and know nothing: two entries that
   * watch each other while control is down would then empty each other's views, and neither would serve any more.
   */
  private leftOut({ vouched, removed, buckets }: controlMessage.WatchEvent): Omit<InstanceUpdate, 'changed'> {
    if (vouched) return { removed, buckets };
    this.withheld ||= removed.length > 0 || buckets.length > 0;
    return { removed: [], buckets: [] };
  }

  /** Documents with their whole texts; several changes of one document may follow each other. */
  private texts(messages: readonly controlMessage.DocumentVersion[]): StoredDocument[] | undefined {
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

  private held(service: string): StoredDocument | undefined {
    const document = this.builder.view().documents.get(service);
    return document === undefined ? undefined : { service, ...document };
  }
}

/** The edited text; undefined when the base is another one or the result is not what the sender has. */
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
