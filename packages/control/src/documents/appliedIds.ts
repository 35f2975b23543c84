/** Outcomes by apply id, so that a resend after a lost answer gets the first outcome. */
import { createHash } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';

/** Maximum number of apply ids that are remembered: about 20 hours of changes at 12,000 a day. */
export const MAX_APPLY_IDS = 10_000;

/** Hash of the fields that a resend must repeat, so that a reused id is not taken for a resend. */
function requestHash(command: stateMessage.ApplyDocument): Uint8Array {
  const { service, baseVersion, text, keyHash } = command;
  const parts = JSON.stringify([service, baseVersion.toString(), keyHash, text]);
  return createHash('sha256').update(parts).digest().subarray(0, 16);
}

/** The first outcome of an apply id, if it is remembered. */
export type FirstAnswer =
  | { readonly known: false }
  | { readonly known: true; readonly isSameRequest: boolean; readonly outcome: stateMessage.ApplyOutcome };

/** The newest apply ids with their outcomes; the oldest is evicted first. */
export class AppliedIds {
  private records = new Map<string, stateMessage.AppliedRecord>();

  /** The first outcome of a command's apply id. */
  find(command: stateMessage.ApplyDocument): FirstAnswer {
    const record = this.records.get(command.applyId);
    if (record?.outcome === undefined) return { known: false };
    const sameRequest = Buffer.compare(record.requestHash, requestHash(command)) === 0;
    return { known: true, isSameRequest: sameRequest, outcome: record.outcome };
  }

  remember(command: stateMessage.ApplyDocument, outcome: stateMessage.ApplyOutcome): void {
    const { applyId } = command;
    const record = { applyId, requestHash: requestHash(command), outcome };
    this.records.set(applyId, create(stateMessage.AppliedRecordSchema, record));
    if (this.records.size <= MAX_APPLY_IDS) return;
    const oldest = this.records.keys().next();
    if (oldest.done !== true) this.records.delete(oldest.value);
  }

  snapshot(): stateMessage.AppliedRecord[] {
    return [...this.records.values()];
  }

  restore(records: readonly stateMessage.AppliedRecord[]): void {
    this.records = new Map(records.map((record) => [record.applyId, record]));
  }
}
