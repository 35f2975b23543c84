/** Interfaces of the serving side to documents, instances and heartbeats. */
import type { Clock } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';
import type { StoredDocument } from '../message/index.js';
import type { Instance } from '../view/index.js';

/** Accepted documents, the newest version of each service. */
export interface DocumentSource {
  /** Revision of the replicated state; never decreases. */
  revision(): bigint;
  /**
   * The newest version of every document accepted after `revision`, ordered by revision; 0n returns all. As documents
   * are replaced but never removed, the result is complete for any earlier `revision`.
   */
  since(revision: bigint): readonly StoredDocument[];
  /** Calls `listener` after each accepted document and each change of `vouched`. Returns a function that removes it. */
  onChange(listener: () => void): () => void;
  /** Whether this process is in touch with a quorum, so that its data is current. */
  vouched(): boolean;
}

/** Current instances and their changes. */
export interface InstanceSource {
  /** By name. */
  current(): ReadonlyMap<string, Instance>;
  /** Calls `listener` with the names of changed or removed instances. Returns a function that removes it. */
  onChange(listener: (names: readonly string[]) => void): () => void;
}

/** Receives the heartbeats of instances. Implemented by control instances. */
export interface HeartbeatReceiver {
  beat(request: controlMessage.BeatRequest): controlMessage.BeatResponse;
}

/** Data sources of the serving side. */
export interface DirectorySource {
  readonly documents: DocumentSource;
  readonly instances: InstanceSource;
  readonly clock: Clock;
  /** Absent if the process does not receive heartbeats. */
  readonly heartbeats?: HeartbeatReceiver;
  /** Aborted when this process stops serving: open streams end, and their watchers switch to another source. */
  readonly ended?: AbortSignal;
}
