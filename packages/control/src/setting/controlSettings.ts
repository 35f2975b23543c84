/** Settings of the control role. */
import * as z from 'zod';
import type { ReplicaAddress } from '../log/index.js';

const REPLICA = /^([a-z0-9][a-z0-9._-]*)=([^\s=,]+:\d+)$/;

/** "name=host:port,name=host:port". */
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
    'control instances of the first start, this one included, as name=host:port with commas between; later changes are made in the control document',
  ),
  gossip: flag(true).describe(
    'whether control instances tell each other which processes beat at them; "false" where no process announces itself by beats',
  ),
  enlists: flag(false).describe(
    'whether an instance that does not vote asks the others to take it in; "false": the control document says who votes',
  ),
  exclusiveFolder: flag(true).describe(
    'whether the data folder is locked against a second process; "false" where the platform never starts two and the disk has no hard links',
  ),
  lossesToBear: z.coerce
    .number()
    .int()
    .min(0)
    .default(1)
    .describe('control instances that may be lost at once; a warning is logged where too few vote for that'),
  targetHeartbeatMs: count()
    .default(1_000)
    .describe('milliseconds between two heartbeats of a target that announces itself by calls'),
  proposalTimeoutMs: count()
    .default(3_000)
    .describe('milliseconds until a change that no quorum has confirmed is given up as unknown'),
  maxClaims: count()
    .default(1_000_000)
    .describe('claims that may be held at once; more are refused. About 50 bytes each once settled'),
  maxAnswerBytes: count()
    .default(32 * 1024 * 1024)
    .describe('bytes of answers kept for resends of non-idempotent requests; the oldest go first'),
});

/** Settings of the control role. */
export type ControlSettings = z.output<typeof controlSettings>;
