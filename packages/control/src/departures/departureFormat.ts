/** How departures are stored on the disk. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { RecordFormat } from '../files/index.js';

const { RecordDeparturesRequestSchema } = controlMessage;

export const departureFormat: RecordFormat<controlMessage.Departure> = {
  prefix: 'departures-',
  encode: (departures) =>
    toBinary(RecordDeparturesRequestSchema, create(RecordDeparturesRequestSchema, { departures })),
  decode: (batch) => fromBinary(RecordDeparturesRequestSchema, batch).departures,
  // What has to be on the disk before an acknowledgement is synced with its write.
  syncDelayMs: 0,
  // Each file begins with the whole table; the power may be lost several times before one is written.
  keptFiles: 3,
};
