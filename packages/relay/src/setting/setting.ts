/** Settings of the relaying entry. Durations in milliseconds, sizes in bytes. */
import * as z from 'zod';

const count = (least: number, most: number) => z.coerce.number().int().min(least).max(most);

/** All settings of the relaying entry. */
export const relaySettings = z.object({
  httpHost: z.string().min(1).default('127.0.0.1').describe('IP address that callers reach'),
  httpPort: count(0, 65_535).default(8_080).describe('TCP port that callers reach; 0: a free one'),
  maxConnections: count(1, 1_000_000)
    .default(3_000)
    .describe("callers' connections held open at once, within the descriptors of the instance"),
  maxBufferedBytes: count(1_048_576, 8_589_934_592)
    .default(67_108_864)
    .describe('request bodies held at once in all, bytes: a third of 200 MB'),
  drainDelayMs: count(0, 600_000)
    .default(2_200)
    .describe(
      'time that a stopping entry goes on accepting, so that a balancer that asks each second misses it twice',
    ),
  graceMs: count(1_000, 3_600_000)
    .default(8_000)
    .describe('time from the begin of a planned stop until the process is killed'),
  retryShare: z.coerce.number().min(0).max(1).default(0.1).describe('retries for each request of a service'),
  retrySlack: count(0, 100_000)
    .default(10)
    .describe('retries in a window beyond that share, shared by all entries together'),
  weightsLimitMs: count(1, 86_400_000)
    .default(8_000)
    .describe('time after the naming of newer weights from which on nothing may begin on older ones'),
  seed: count(0, 4_294_967_295).default(0).describe('seed of routing decisions; 0: from the name'),
});

/** Settings of one relaying entry. */
export type RelaySettings = z.output<typeof relaySettings>;
