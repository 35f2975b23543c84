/** The accepted documents, parsed once for all who read them in this process. */
import { parseDocument } from '@jasmineroute/document';
import type { Document } from '@jasmineroute/document';
import type { Log } from '@jasmineroute/core';
import type { VersionedDocument } from '@jasmineroute/directory';
import type { controlMessage } from '@jasmineroute/protocol';
import { controlEvents } from '../events.js';
import type { DocumentState } from './documentState.js';

/** Parsed documents in force, by service. */
export class DocumentView {
  private parsed: ReadonlyMap<string, VersionedDocument> = new Map();
  private revision = -1n;

  constructor(
    private readonly state: DocumentState,
    private readonly log: Log,
  ) {}

  /** The documents in force now. The same map until one changes. */
  documents(): ReadonlyMap<string, VersionedDocument> {
    if (this.revision !== this.state.revision()) this.refresh();
    return this.parsed;
  }

  /** The documents without their versions. */
  plain(): ReadonlyMap<string, Document> {
    return new Map([...this.documents()].map(([service, { document }]) => [service, document]));
  }

  private refresh(): void {
    const next = new Map<string, VersionedDocument>();
    for (const service of this.state.services()) {
      const document = this.read(service);
      if (document !== undefined) next.set(service, document);
    }
    this.parsed = next;
    this.revision = this.state.revision();
  }

  private read(service: string): VersionedDocument | undefined {
    const newest = this.state.versions(service)[0];
    if (newest === undefined) return undefined;
    const known = this.parsed.get(service);
    if (known?.version === newest.version) return known;
    return this.parse(newest) ?? known;
  }

  /**
   * An accepted text that this release can't read comes from a newer one: the version before stays in force
   * here, and the event tells that this instance is to be upgraded.
   */
  private parse(version: controlMessage.DocumentVersion): VersionedDocument | undefined {
    const parsed = parseDocument(version.text);
    if (parsed.isErr()) {
      const { service, version: number } = version;
      this.log.event(controlEvents.unreadableDocument, { service, version: number.toString() });
      return undefined;
    }
    return {
      version: version.version,
      document: parsed.value,
      text: version.text,
      operator: version.operator,
      acceptedAt: new Date(Number(version.acceptedAtMs)),
      revision: version.revision,
    };
  }
}
