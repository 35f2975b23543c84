/** The accepted documents, parsed on demand. */
import { parseDocument } from '@jasmineroute/document';
import type { Document } from '@jasmineroute/document';
import type { Log } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { DocumentState } from './documentState.js';

interface ParsedVersion {
  readonly version: bigint;
  /** Undefined when no version so far could be parsed. */
  readonly document?: Document;
}

/**
 * Parsed documents in force. Parsing a long document blocks the event loop for some tenths of a second, so an instance
 * parses only the documents that it needs itself and passes most of them on as text.
 */
export class DocumentView {
  private readonly parsed = new Map<string, ParsedVersion>();

  constructor(
    private readonly state: DocumentState,
    private readonly log: Log,
  ) {}

  /** The document of a service. */
  find(service: string): Document | undefined {
    const newest = this.state.versions(service)[0];
    if (newest === undefined) return undefined;
    const known = this.parsed.get(service);
    if (known?.version === newest.version) return known.document;
    const document = this.parse(newest) ?? known?.document;
    this.parsed.set(service, { version: newest.version, document });
    return document;
  }

  /** All documents, by service. */
  all(): ReadonlyMap<string, Document> {
    const documents = new Map<string, Document>();
    for (const service of this.state.services()) {
      const document = this.find(service);
      if (document !== undefined) documents.set(service, document);
    }
    return documents;
  }

  /**
   * An accepted text that this release can't parse comes from a newer release: the last version that could be parsed
   * stays in force on this instance, and the event says that the instance must be upgraded.
   */
  private parse({ service, version, text }: controlMessage.DocumentVersion): Document | undefined {
    const parsed = parseDocument(text);
    if (parsed.isOk()) return parsed.value;
    this.log.event(controlEvents.unreadableDocument, { service, version: version.toString() });
    return undefined;
  }
}
