/** Ports of the serving side: where documents, instances and beats come from and go to. */
import type { Clock } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';
import type { StoredDocument } from '../message/index.js';
import type { Instance } from '../view/index.js';

/** Accepted documents, the newest version of each service. */
export interface DocumentSource {
  /** Revision of the whole state; never goes down. */
  revision(): bigint;
  /**
   * The newest version of every document that was accepted after `revision`, in the order of revisions; 0n gives
   * all. As documents are replaced and never removed, this is complete however long ago `revision` was.
   */
  since(revision: bigint): readonly StoredDocument[];
  /** Calls back after each accepted document and each change of `vouched`. Returns the way to stop. */
  onChange(listener: () => void): () => void;
  /** Whether this process is in touch with a quorum, so that what it says is current. */
  vouched(): boolean;
}

/** Instances that are known. */
export interface InstanceSource {
  /** By name. */
  current(): ReadonlyMap<string, Instance>;
  /** Calls back with the names of those that changed or went. Returns the way to stop. */
  onChange(listener: (names: readonly string[]) => void): () => void;
}

/** Takes the beats of instances; control instances do. */
export interface BeatReceiver {
  beat(request: controlMessage.BeatRequest): controlMessage.BeatResponse;
}

/** What is served. */
export interface DirectorySource {
  readonly documents: DocumentSource;
  readonly instances: InstanceSource;
  readonly clock: Clock;
  /** Absent where beats are not taken. */
  readonly beats?: BeatReceiver;
  /** Aborted when this process stops serving: open streams end, so that their watchers move on. */
  readonly ended?: AbortSignal;
}
