/** Stored documents between messages and the view. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';

/** The document that says where control instances are; every watcher gets it. */
export const CONTROL_SERVICE = 'control';

/** An accepted document as text, as control instances store it. */
export interface StoredDocument {
  readonly service: string;
  readonly version: bigint;
  readonly text: string;
  readonly operator: string;
  readonly acceptedAt: Date;
  /** Revision of the whole state at which it was accepted. */
  readonly revision: bigint;
}

/** A document with its whole text as a message has it. */
export function documentToMessage(document: StoredDocument): controlMessage.DocumentVersion {
  return create(controlMessage.DocumentVersionSchema, {
    service: document.service,
    version: document.version,
    text: document.text,
    operator: document.operator,
    acceptedAtMs: BigInt(document.acceptedAt.getTime()),
    revision: document.revision,
  });
}

/** A document out of a message, with a text made elsewhere when the message has edits only. */
export function documentFromMessage(
  message: controlMessage.DocumentVersion,
  text = message.text,
): StoredDocument {
  return {
    service: message.service,
    version: message.version,
    text,
    operator: message.operator,
    acceptedAt: new Date(Number(message.acceptedAtMs)),
    revision: message.revision,
  };
}
