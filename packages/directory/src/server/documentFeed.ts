/** Document changes for watchers: edits if the watcher has a recent version, otherwise the full text. */
import { create } from '@bufbuild/protobuf';
import { compactText } from '@jasmineroute/document';
import { controlMessage } from '@jasmineroute/protocol';
import { documentToMessage, editsBetween, textDigest } from '../message/index.js';
import type { StoredDocument } from '../message/index.js';
import type { DocumentSource } from './source.js';

/** Changes stored per document. A watcher that missed more receives the full text. */
const MAX_CHANGES = 64;
/** Approximate message size of an edit without its text and of a change without its edits, in bytes. */
const EDIT_OVERHEAD_BYTES = 12;
const CHANGE_OVERHEAD_BYTES = 60;

type DocumentMessage = controlMessage.DocumentVersion;

/** One change of a document. */
interface Change {
  readonly baseRevision: bigint;
  readonly revision: bigint;
  readonly size: number;
  readonly message: DocumentMessage;
}

/** The newest document of a service and its recent changes. */
interface DocumentHistory {
  readonly newest: StoredDocument;
  readonly whole: DocumentMessage;
  readonly changes: readonly Change[];
}

/** Reads a source and computes each change once for all watchers. */
export class DocumentFeed {
  private readonly histories = new Map<string, DocumentHistory>();
  private processedRevision = 0n;

  constructor(private readonly source: DocumentSource) {}

  revision(): bigint {
    return this.source.revision();
  }

  vouched(): boolean {
    return this.source.vouched();
  }

  /** Changes after `revision` of the wanted services, ordered by revision. */
  since(revision: bigint, wanted: (service: string) => boolean): DocumentMessage[] {
    this.update();
    const messages: DocumentMessage[] = [];
    for (const [service, history] of this.histories) {
      if (history.newest.revision > revision && wanted(service))
        messages.push(...changesAfter(history, revision));
    }
    return messages.sort((a, b) => (a.revision < b.revision ? -1 : 1));
  }

  /** Computes the changes of the source since the last call. */
  private update(): void {
    if (this.processedRevision === this.source.revision()) return;
    for (const stored of this.source.since(this.processedRevision)) {
      const document = { ...stored, text: compactForm(stored.text) };
      this.histories.set(document.service, withChange(this.histories.get(document.service), document));
    }
    this.processedRevision = this.source.revision();
  }
}

/** The compact form, which is fast to parse. Documents that an entry passes on already have it. */
function compactForm(text: string): string {
  return text.startsWith('{') ? text : compactText(text);
}

function withChange(history: DocumentHistory | undefined, document: StoredDocument): DocumentHistory {
  const whole = documentToMessage(document);
  if (history === undefined) return { newest: document, whole, changes: [] };
  const change = changeBetween(history.newest, document);
  return { newest: document, whole, changes: [...history.changes, change].slice(-MAX_CHANGES) };
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
  const inserted = edits.reduce(
    (sum, edit) => sum + edit.inserted.length + EDIT_OVERHEAD_BYTES,
    CHANGE_OVERHEAD_BYTES,
  );
  return { baseRevision: before.revision, revision: after.revision, size: inserted, message };
}

/** The stored changes if they reach back to the watcher's revision and are smaller than the full text. */
function changesAfter(history: DocumentHistory, revision: bigint): DocumentMessage[] {
  const changes = history.changes.filter((change) => change.revision > revision);
  const [first] = changes;
  if (first === undefined || first.baseRevision > revision) return [history.whole];
  const size = changes.reduce((sum, change) => sum + change.size, 0);
  if (size >= history.newest.text.length) return [history.whole];
  return changes.map(({ message }) => message);
}
