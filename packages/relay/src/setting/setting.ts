/** Settings of the relaying entry. Durations in milliseconds, sizes in bytes. */
import * as z from 'zod';

const count = (least: number, most: number) => z.coerce.number().int().min(least).max(most);

/** All settings of the relaying entry. */
export const relaySettings = z.object({
  httpHost: z.string().min(1).default('127.0.0.1').describe('IP address that callers reach'),
  httpPort: count(0, 65_535).default(8_080).describe('TCP port that callers reach; 0: any free port'),
  memoryMb: count(1, 1_048_576)
    .default(200)
    .describe('memory that the process may take, MB: an eighth holds what callers send and are not yet sent'),
  maxDescriptors: count(1, 10_000_000)
    .default(4_100)
    .describe(
      'file descriptors that the process may have open: three quarters are for connections of callers',
    ),
  drainDelayMs: count(0, 600_000)
    .default(2_200)
    .describe(
      'time that a stopping entry keeps accepting requests: two failed probes of a balancer that probes every second',
    ),
  graceMs: count(1_000, 3_600_000)
    .default(8_000)
    .describe('time from the start of a planned stop until the process is killed'),
  retryShare: z.coerce
    .number()
    .min(0)
    .max(1)
    .default(0.1)
    .describe('retries allowed per request of a service'),
  retrySlack: count(0, 100_000)
    .default(10)
    .describe('additional retries within a window, shared by all entries'),
  weightsLimitMs: count(1, 86_400_000)
    .default(8_000)
    .describe('time after newer weights are named from which no request may start on older ones'),
  seed: count(0, 4_294_967_295).default(0).describe('seed of routing decisions; 0: derived from the name'),
});

/** Settings of one relaying entry. */
export type RelaySettings = z.output<typeof relaySettings>;
