/** The source of accepted documents for watchers. */
import { documentFromMessage } from '@jasmineroute/directory';
import type { DocumentSource, StoredDocument } from '@jasmineroute/directory';
import type { DocumentState } from '../documents/index.js';
import type { CommandLog } from '../log/index.js';

/**
 * Reads the applied state, which a quorum holds: a document that is proposed but not yet accepted is not part of it, so no
 * watcher sees it.
 */
export class ControlDocumentSource implements DocumentSource {
  private readonly listeners = new Set<() => void>();
  private wasVouched: boolean;

  constructor(
    private readonly state: DocumentState,
    private readonly log: CommandLog,
  ) {
    this.wasVouched = log.status().vouched;
    state.onChange(() => {
      this.notifyListeners();
    });
    log.onStatus(() => {
      this.onLogStatus();
    });
  }

  revision(): bigint {
    return this.state.revision();
  }

  since(revision: bigint): readonly StoredDocument[] {
    return this.state
      .services()
      .flatMap((service) => this.state.versions(service).slice(0, 1))
      .filter((newest) => newest.revision > revision)
      .sort((a, b) => (a.revision < b.revision ? -1 : 1))
      .map((newest) => documentFromMessage(newest));
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  vouched(): boolean {
    return this.log.status().vouched;
  }

  /** Notifies watchers only when `vouched` changes; other changes of the log's status don't concern them. */
  private onLogStatus(): void {
    const vouched = this.vouched();
    if (vouched === this.wasVouched) return;
    this.wasVouched = vouched;
    this.notifyListeners();
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}
