/** Changes of documents for watchers: edits where a watcher has the text before, the whole text otherwise. */
import { create } from '@bufbuild/protobuf';
import { compactText } from '@jasmineroute/document';
import { controlMessage } from '@jasmineroute/protocol';
import { documentToMessage, editsBetween, textDigest } from '../message/index.js';
import type { StoredDocument } from '../message/index.js';
import type { DocumentSource } from './source.js';

/** Changes of one document that are held; a watcher that missed more gets the whole text. */
const HELD_CHANGES = 64;
/** Bytes of a message that come beside the inserted text of an edit, and beside the edits of a change. */
const EDIT_BYTES = 12;
const CHANGE_BYTES = 60;

type DocumentMessage = controlMessage.DocumentVersion;

/** One change of a document. */
interface Change {
  readonly baseRevision: bigint;
  readonly revision: bigint;
  readonly size: number;
  readonly message: DocumentMessage;
}

/** The newest text of a service and how it came about. */
interface DocumentHistory {
  readonly newest: StoredDocument;
  readonly whole: DocumentMessage;
  readonly changes: readonly Change[];
}

/** Follows a source and works each change out once for all watchers. */
export class DocumentFeed {
  private readonly histories = new Map<string, DocumentHistory>();
  private followed = 0n;

  constructor(private readonly source: DocumentSource) {}

  revision(): bigint {
    return this.source.revision();
  }

  vouched(): boolean {
    return this.source.vouched();
  }

  /** What changed after `revision` among the wanted services, in the order of revisions. */
  since(revision: bigint, wanted: (service: string) => boolean): DocumentMessage[] {
    this.follow();
    const messages: DocumentMessage[] = [];
    for (const [service, history] of this.histories) {
      if (history.newest.revision > revision && wanted(service))
        messages.push(...changesAfter(history, revision));
    }
    return messages.sort((a, b) => (a.revision < b.revision ? -1 : 1));
  }

  /** Works out the changes that the source has had since the last call. */
  private follow(): void {
    if (this.followed === this.source.revision()) return;
    for (const stored of this.source.since(this.followed)) {
      const document = { ...stored, text: quickText(stored.text) };
      this.histories.set(document.service, extended(this.histories.get(document.service), document));
    }
    this.followed = this.source.revision();
  }
}

/** The form that watchers read quickly. What an entry passes on to its neighbours has it already. */
function quickText(text: string): string {
  return text.startsWith('{') ? text : compactText(text);
}

function extended(history: DocumentHistory | undefined, document: StoredDocument): DocumentHistory {
  const whole = documentToMessage(document);
  if (history === undefined) return { newest: document, whole, changes: [] };
  const change = changeBetween(history.newest, document);
  return { newest: document, whole, changes: [...history.changes, change].slice(-HELD_CHANGES) };
}

function changeBetween(before: StoredDocument, after: StoredDocument): Change {
  const edits = editsBetween(before.text, after.text);
  const message = create(controlMessage.DocumentVersionSchema, {
    ...documentToMessage(after),
    text: '',
    baseRevision: before.revision,
    edits: edits.map((edit) => create(controlMessage.TextEditSchema, edit)),
    digest: textDigest(after.text),
  });
  const inserted = edits.reduce((sum, edit) => sum + edit.inserted.length + EDIT_BYTES, CHANGE_BYTES);
  return { baseRevision: before.revision, revision: after.revision, size: inserted, message };
}

/** The held changes, if they reach back to the watcher's text and are shorter than the whole. */
function changesAfter(history: DocumentHistory, revision: bigint): DocumentMessage[] {
  const changes = history.changes.filter((change) => change.revision > revision);
  const [first] = changes;
  if (first === undefined || first.baseRevision > revision) return [history.whole];
  const size = changes.reduce((sum, change) => sum + change.size, 0);
  if (size >= history.newest.text.length) return [history.whole];
  return changes.map(({ message }) => message);
}
