/** How origins of streams are stored on the disk. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';
import type { RecordFormat } from '../files/index.js';

const { StreamOriginsSchema } = controlMessage;

/** Streams begin many times a second, so their origins are synced together. */
const SYNC_DELAY_MS = 200;

export const originFormat: RecordFormat<controlMessage.StreamOrigin> = {
  prefix: 'origins-',
  encode: (origins) => toBinary(StreamOriginsSchema, create(StreamOriginsSchema, { origins })),
  decode: (batch) => fromBinary(StreamOriginsSchema, batch).origins,
  syncDelayMs: SYNC_DELAY_MS,
  // The older generation of the table.
  keptFiles: 1,
};
