/** Converts stored documents to and from messages. */
import { create } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';

/** Service of the document that lists the control instances. Every watcher receives it. */
export const CONTROL_SERVICE = 'control';

/** An accepted document as text, as control instances store it. */
export interface StoredDocument {
  readonly service: string;
  readonly version: bigint;
  readonly text: string;
  readonly operator: string;
  readonly acceptedAt: Date;
  /** Revision of the replicated state at which it was accepted. */
  readonly revision: bigint;
}

/** Converts a document with its full text to a message. */
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

/** Converts a message to a document. Pass `text` if the message contains only edits. */
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
