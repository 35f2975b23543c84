/** The files in which a process saves its view for the next start. */
import { join } from 'node:path';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { documentToMessage, instanceToMessage } from '../message/index.js';
import type { View } from '../view/index.js';
import { readStateFile, writeStateFile } from './stateFile.js';

/** Documents and addresses; written before new documents are applied. */
const DOCUMENTS_FILE = 'directory-documents.kept';
/** Instances; written with a delay, as they are compared with the source after a start anyway. */
const INSTANCES_FILE = 'directory-instances.kept';

/** Addresses saved together with the view. */
export interface PersistedAddresses {
  readonly controls: readonly string[];
  readonly neighbours: readonly string[];
}

/** Services to which a process was limited when it wrote the files. */
export interface PersistedScope {
  readonly services: readonly string[];
}

/** Reads and writes the two files in a folder. */
export class PersistedView {
  constructor(
    private readonly folder: string,
    private readonly scope: PersistedScope,
  ) {}

  /** Writes the documents of a view and the addresses. */
  writeDocuments(view: View, addresses: PersistedAddresses): Promise<Result<void, Fault>> {
    const state = create(controlMessage.WatchEventSchema, {
      documents: [...view.documents].map(([service, document]) =>
        documentToMessage({ service, ...document }),
      ),
      revision: view.revision,
      neighbours: [...addresses.neighbours],
    });
    return this.write(DOCUMENTS_FILE, state, addresses.controls);
  }

  /** Writes the instances of a view. */
  writeInstances(view: View): Promise<Result<void, Fault>> {
    const instances = [...view.instances.values()].map((instance) => instanceToMessage(instance));
    return this.write(INSTANCES_FILE, create(controlMessage.WatchEventSchema, { instances }), []);
  }

  /** Reads the documents; undefined if there is no file or it was written for other services. */
  readDocuments(): Promise<Result<controlMessage.KeptState | undefined, Fault>> {
    return this.read(DOCUMENTS_FILE);
  }

  /** Reads the instances; undefined as for documents. */
  readInstances(): Promise<Result<controlMessage.KeptState | undefined, Fault>> {
    return this.read(INSTANCES_FILE);
  }

  private write(
    file: string,
    state: controlMessage.WatchEvent,
    controls: readonly string[],
  ): Promise<Result<void, Fault>> {
    const kept = create(controlMessage.KeptStateSchema, {
      state,
      services: [...this.scope.services].sort(),
      controls: [...controls],
    });
    return writeStateFile(join(this.folder, file), toBinary(controlMessage.KeptStateSchema, kept));
  }

  private async read(file: string): Promise<Result<controlMessage.KeptState | undefined, Fault>> {
    const content = await readStateFile(join(this.folder, file));
    if (content.isErr()) return err(content.error);
    if (content.value === undefined) return ok(undefined);
    try {
      const kept = fromBinary(controlMessage.KeptStateSchema, content.value);
      const same = kept.services.join('\n') === [...this.scope.services].sort().join('\n');
      return ok(same ? kept : undefined);
    } catch (error) {
      return err(fault('storage-failed', `${file} cannot be read`, { cause: error }));
    }
  }
}
