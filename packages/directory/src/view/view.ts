/** The documents, targets and instances that a process sees. */
import type { Document } from '@jasmineroute/document';

/** State of an instance as judged by the control instances. */
export type Health = 'alive' | 'suspect' | 'leaving' | 'down';

/** Role of a process. */
export type Role = 'entry' | 'agent' | 'control';

/** A model that a target has in memory, with its weights and adapters. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  /** Each as "name@version". */
  readonly adapters: readonly string[];
}

/** Target state as reported by its agent. */
export interface Target {
  readonly service: string;
  readonly kind: 'model' | 'plain';
  /** Changes with every start of the engine. */
  readonly engineIncarnation: string;
  readonly ready: boolean;
  readonly models: readonly LoadedModel[];
  /** Maximum concurrent requests. */
  readonly capacity: number;
  readonly role: string;
  /** Version of the engine's software; empty or absent: it publishes none. */
  readonly softwareVersion?: string;
}

/** A process of the system. An agent's instance includes its target. */
export interface Instance {
  readonly name: string;
  /** Increases with every start of the process. */
  readonly incarnation: bigint;
  readonly role: Role;
  /** host:port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly health: Health;
  readonly target?: Target;
  /** Revision of the documents that the instance has applied. */
  readonly revision: bigint;
}

/** An accepted document. */
export interface VersionedDocument {
  readonly version: bigint;
  readonly document: Document;
  /** Compact form. Control instances keep the original text with its comments. */
  readonly text: string;
  readonly operator: string;
  readonly acceptedAt: Date;
  /** Revision of the replicated state at which it was accepted. */
  readonly revision: bigint;
}

/** An immutable, consistent snapshot. Each change produces a new one. */
export interface View {
  /** By service. */
  readonly documents: ReadonlyMap<string, VersionedDocument>;
  /** By name. */
  readonly instances: ReadonlyMap<string, Instance>;
  /** Newest revision of the documents; never decreases within a process. */
  readonly revision: bigint;
  /** Whether the source has confirmed that it is in touch with a quorum. */
  readonly vouched: boolean;
}

/** Gives access to the current view and its changes. */
export interface Directory {
  /** The newest snapshot. */
  view(): View;
  /** Calls `listener` after every change. Returns a function that removes it. */
  onChange(listener: (view: View) => void): () => void;
}

/** View of a process that has not received any data. */
export const emptyView: View = { documents: new Map(), instances: new Map(), revision: 0n, vouched: false };
