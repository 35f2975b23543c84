/** How evidence on requests that crash targets is stored on the disk. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { RecordFormat } from '../files/index.js';

const { CrashReportSchema } = controlMessage;

export const evidenceFormat: RecordFormat<controlMessage.CrashEvidence> = {
  prefix: 'evidence-',
  encode: (evidence) => toBinary(CrashReportSchema, create(CrashReportSchema, { evidence })),
  decode: (batch) => fromBinary(CrashReportSchema, batch).evidence,
  // Crashes are rare, and the power may be lost right after one.
  syncDelayMs: 0,
  // Each file begins with the whole table; the power may be lost several times before one is written.
  keptFiles: 3,
};
