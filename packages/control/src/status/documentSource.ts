/** Accepted documents as watchers get them. */
import { documentFromMessage } from '@jasmineroute/directory';
import type { DocumentSource, StoredDocument } from '@jasmineroute/directory';
import type { DocumentState } from '../documents/index.js';
import type { CommandLog } from '../log/index.js';

/**
 * What the state machine has applied, which is what a quorum holds: a document that is proposed and not yet
 * accepted is in no state, so no watcher can see it.
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
      this.announce();
    });
    log.onStatus(() => {
      this.followStatus();
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

  /** Only a change of `vouched` concerns watchers; a leader's every step does not. */
  private followStatus(): void {
    const vouched = this.vouched();
    if (vouched === this.wasVouched) return;
    this.wasVouched = vouched;
    this.announce();
  }

  private announce(): void {
    for (const listener of this.listeners) listener();
  }
}
