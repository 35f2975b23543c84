/** One service's document with its history. */
import { create } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';

/** Maximum number of versions of a service whose text is kept, including the current one. */
export const MAX_STORED_TEXTS = 20;

/** Maximum bytes of older texts that are kept for one service, besides the current text. */
export const MAX_OLDER_TEXT_BYTES = 1024 * 1024;

/** Maximum number of versions of a service in the history. */
export const MAX_VERSIONS = 200;

/** Adds a version and removes older versions and texts beyond the limits. */
export function withVersion(
  record: stateMessage.DocumentRecord | undefined,
  command: stateMessage.ApplyDocument,
  accepted: controlMessage.Accepted,
): stateMessage.DocumentRecord {
  const newest = create(controlMessage.DocumentVersionSchema, {
    service: command.service,
    version: accepted.version,
    text: command.text,
    operator: command.operator,
    acceptedAtMs: command.acceptedAtMs,
    revision: accepted.revision,
  });
  const older = record?.versions.slice(0, MAX_VERSIONS - 1) ?? [];
  return create(stateMessage.DocumentRecordSchema, {
    service: command.service,
    operatorHashes: command.operatorHashes,
    sharedHash: command.sharedHash,
    versions: [newest, ...trimTexts(older)],
  });
}

function trimTexts(older: readonly controlMessage.DocumentVersion[]): controlMessage.DocumentVersion[] {
  let bytes = 0;
  return older.map((version, position) => {
    bytes += Buffer.byteLength(version.text);
    const keep = position < MAX_STORED_TEXTS - 1 && bytes <= MAX_OLDER_TEXT_BYTES;
    return keep ? version : { ...version, text: '' };
  });
}
