/** Answers to apply ids, so that a resend after a lost answer gets the first one. */
import { createHash } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';

/** Apply ids that are remembered: about the changes of twenty hours at 12,000 a day. */
export const KEPT_APPLY_IDS = 10_000;

/** What a resend must repeat, so that an id is not taken for another wish. */
function requestHash(command: stateMessage.ApplyDocument): Uint8Array {
  const { service, baseVersion, text, keyHash } = command;
  const parts = JSON.stringify([service, baseVersion.toString(), keyHash, text]);
  return createHash('sha256').update(parts).digest().subarray(0, 16);
}

/** What is known of an apply id. */
export type FirstAnswer =
  | { readonly known: false }
  | { readonly known: true; readonly sameRequest: boolean; readonly outcome: stateMessage.ApplyOutcome };

/** The newest apply ids with their answers; the oldest goes first. */
export class AppliedIds {
  private records = new Map<string, stateMessage.AppliedRecord>();

  /** The first answer to a command's id. */
  find(command: stateMessage.ApplyDocument): FirstAnswer {
    const record = this.records.get(command.applyId);
    if (record?.outcome === undefined) return { known: false };
    const sameRequest = Buffer.compare(record.requestHash, requestHash(command)) === 0;
    return { known: true, sameRequest, outcome: record.outcome };
  }

  remember(command: stateMessage.ApplyDocument, outcome: stateMessage.ApplyOutcome): void {
    const { applyId } = command;
    const record = { applyId, requestHash: requestHash(command), outcome };
    this.records.set(applyId, create(stateMessage.AppliedRecordSchema, record));
    if (this.records.size <= KEPT_APPLY_IDS) return;
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
