/** What a process knows of documents, targets and instances. */
import type { Document } from '@jasmineroute/document';

/** State of an instance as control instances see it. */
export type Health = 'alive' | 'suspect' | 'leaving' | 'down';

/** Role of a process. */
export type Role = 'entry' | 'agent' | 'control';

/** A model with the weights and adapters that a target has in memory. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  /** "name@version". */
  readonly adapters: readonly string[];
}

/** What an agent says of its target. */
export interface Target {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  /** New for each start of the engine. */
  readonly engineIncarnation: string;
  readonly ready: boolean;
  readonly models: readonly LoadedModel[];
  /** Concurrent requests it can take. */
  readonly capacity: number;
  readonly role: string;
}

/** A process of the system; an agent's carries its target. */
export interface Instance {
  readonly name: string;
  /** New for each start of the process; larger is newer. */
  readonly incarnation: bigint;
  readonly role: Role;
  /** host:port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly health: Health;
  readonly target?: Target;
  /** Revision of the documents in force there. */
  readonly revision: bigint;
}

/** An accepted document. */
export interface VersionedDocument {
  readonly version: bigint;
  readonly document: Document;
  /** The compact form; operators' own text with its comments stays with control. */
  readonly text: string;
  readonly operator: string;
  readonly acceptedAt: Date;
  /** Revision of the whole state at which it was accepted. */
  readonly revision: bigint;
}

/** One consistent picture. Replaced as a whole, never changed. */
export interface View {
  /** By service. */
  readonly documents: ReadonlyMap<string, VersionedDocument>;
  /** By name. */
  readonly instances: ReadonlyMap<string, Instance>;
  /** Newest revision of the documents; never goes down in a process. */
  readonly revision: bigint;
  /** Whether the source is known to be in touch with a quorum. */
  readonly vouched: boolean;
}

/** A live view. */
export interface Directory {
  /** The newest picture. */
  view(): View;
  /** Calls back after every change. Returns the way to stop. */
  onChange(listener: (view: View) => void): () => void;
}

/** The picture of a process that knows nothing yet. */
export const emptyView: View = { documents: new Map(), instances: new Map(), revision: 0n, vouched: false };
