/** One service's document with its history. */
import { create } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';

/** Versions whose text is kept, the current one included. */
export const KEPT_TEXTS = 20;

/** Bytes of texts that are kept of one service besides the current one. */
export const KEPT_TEXT_BYTES = 1024 * 1024;

/** Versions that are listed in the history. */
export const KEPT_VERSIONS = 200;

/** Adds a version and drops what the bounds no longer allow. */
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
  const older = record?.versions.slice(0, KEPT_VERSIONS - 1) ?? [];
  return create(stateMessage.DocumentRecordSchema, {
    service: command.service,
    operatorHashes: command.operatorHashes,
    sharedHash: command.sharedHash,
    versions: [newest, ...withinBounds(older)],
  });
}

function withinBounds(older: readonly controlMessage.DocumentVersion[]): controlMessage.DocumentVersion[] {
  let bytes = 0;
  return older.map((version, position) => {
    bytes += Buffer.byteLength(version.text);
    const keep = position < KEPT_TEXTS - 1 && bytes <= KEPT_TEXT_BYTES;
    return keep ? version : { ...version, text: '' };
  });
}
