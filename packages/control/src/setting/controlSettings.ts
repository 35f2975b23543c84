/** Settings of the control role. */
import * as z from 'zod';
import type { ReplicaAddress } from '../log/index.js';

const REPLICA = /^([a-z0-9][a-z0-9._-]*)=([^\s=,]+:\d+)$/;

/** Parses "name=host:port,name=host:port". */
const replicaList = z.string().transform((text, context): ReplicaAddress[] => {
  const replicas = text.split(',').map((part) => REPLICA.exec(part.trim()));
  const found = replicas.flatMap((match) =>
    match?.[1] === undefined || match[2] === undefined ? [] : [{ name: match[1], address: match[2] }],
  );
  const names = new Set(found.map(({ name }) => name));
  if (found.length !== replicas.length || names.size !== found.length) {
    context.addIssue({ code: 'custom', message: 'each part must be name=host:port, each name once' });
    return z.NEVER;
  }
  return found;
});

const count = (): z.ZodCoercedNumber => z.coerce.number().int().positive();

const flag = (initial: boolean) => z.stringbool().default(initial);

export const controlSettings = z.object({
  replicas: replicaList.describe(
    'initial control instances, including this one, as name=host:port separated by commas; later changes are made in the control document',
  ),
  gossip: flag(true).describe(
    'whether control instances gossip the processes that send them heartbeats; "false" where no process announces itself by heartbeats',
  ),
  enlists: flag(false).describe(
    'whether an instance that does not vote requests the voter role from the others; "false": the control document determines the voters',
  ),
  exclusiveFolder: flag(true).describe(
    'whether the data folder is locked against a second process; "false" where the platform never starts two and the disk does not support hard links',
  ),
  maxFolderMb: z.coerce
    .number()
    .min(1)
    .optional()
    .describe(
      'megabytes that the data folder may hold; by default what is free on its file system at the start, and what the folder holds then',
    ),
  lossesToBear: z.coerce
    .number()
    .int()
    .min(0)
    .default(1)
    .describe(
      'number of control instances that may fail at the same time; a warning is logged when there are too few voters for it',
    ),
  targetHeartbeatMs: count()
    .default(1_000)
    .describe('milliseconds between two heartbeats of a target that announces itself by calls'),
  proposalTimeoutMs: count()
    .default(3_000)
    .describe(
      'milliseconds after which a change without confirmation by a quorum fails with an unknown outcome',
    ),
  maxClaims: count()
    .default(1_000_000)
    .describe('maximum number of claims; further ones are refused. A settled claim takes about 50 bytes'),
  maxAnswerBytes: count()
    .default(32 * 1024 * 1024)
    .describe(
      'maximum bytes of answers kept for resends of non-idempotent requests; the oldest are evicted first',
    ),
});

/** Settings of the control role. */
export type ControlSettings = z.output<typeof controlSettings>;
