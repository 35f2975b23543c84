/** What a process keeps of its view over a restart. */
import { join } from 'node:path';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { documentToMessage, instanceToMessage } from '../message/index.js';
import type { View } from '../view/index.js';
import { readKept, writeKept } from './stateFile.js';

/** Documents and addresses; written before new documents are in force. */
const DOCUMENTS_FILE = 'directory-documents.kept';
/** Instances; written now and then, as they are checked against the source anyway. */
const INSTANCES_FILE = 'directory-instances.kept';

/** Addresses that are kept beside the view. */
export interface KeptAddresses {
  readonly controls: readonly string[];
  readonly neighbours: readonly string[];
}

/** What a process was limited to when it wrote the files. */
export interface KeptScope {
  readonly services: readonly string[];
}

/** The two files in a folder. */
export class KeptState {
  constructor(
    private readonly folder: string,
    private readonly scope: KeptScope,
  ) {}

  /** Writes the documents of a view and the addresses. */
  writeDocuments(view: View, addresses: KeptAddresses): Promise<Result<void, Fault>> {
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

  /** Reads the documents; undefined when there are none, or only those of other services. */
  readDocuments(): Promise<Result<controlMessage.KeptState | undefined, Fault>> {
    return this.read(DOCUMENTS_FILE);
  }

  /** Reads the instances. */
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
    return writeKept(join(this.folder, file), toBinary(controlMessage.KeptStateSchema, kept));
  }

  private async read(file: string): Promise<Result<controlMessage.KeptState | undefined, Fault>> {
    const content = await readKept(join(this.folder, file));
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
