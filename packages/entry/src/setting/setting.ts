/** Settings of the entry role. Durations are in milliseconds, sizes in bytes. */
import * as z from 'zod';

const count = (least: number, most: number) => z.coerce.number().int().min(least).max(most);

/** All settings of the entry role, each with a default. */
export const entrySettings = z.object({
  httpHost: z
    .string()
    .min(1)
    .default('127.0.0.1')
    .describe('IP address to listen on for callers, "127.0.0.1"'),
  httpPort: count(0, 65_535)
    .default(8_080)
    .describe('TCP port to listen on for callers, 0 to 65535; 0: any free port'),
  maxHeaderBytes: count(1_024, 1_048_576)
    .default(16_384)
    .describe('maximum size of a request head, 1024 to 1048576 bytes'),
  maxConnections: count(1, 1_000_000)
    .default(10_000)
    .describe('maximum number of open caller connections, 1 to 1000000'),
  maxBodyBytes: count(1, 67_108_864)
    .default(67_108_864)
    .describe('maximum size of a request body, 1 to 67108864 bytes; documents may set a lower limit'),
  maxBufferedBytes: count(1_048_576, 8_589_934_592)
    .default(268_435_456)
    .describe('maximum total size of buffered request bodies, 1048576 to 8589934592 bytes'),
  headerTimeoutMs: count(100, 600_000)
    .default(10_000)
    .describe('maximum time for a request head to arrive, 100 to 600000 ms'),
  requestTimeoutMs: count(100, 600_000)
    .default(30_000)
    .describe('maximum time for a complete request to arrive, 100 to 600000 ms'),
  idleTimeoutMs: count(100, 3_600_000)
    .default(75_000)
    .describe('time after which an idle keep-alive connection is closed, 100 to 3600000 ms'),
  callerStallMs: count(100, 600_000)
    .default(30_000)
    .describe('time after which a caller that reads nothing of its answer is disconnected, 100 to 600000 ms'),
  callerPingMs: count(100, 600_000)
    .default(5_000)
    .describe('time without output after which a streaming caller gets an SSE comment, 100 to 600000 ms'),
  streamSilenceMs: count(50, 60_000)
    .default(2_000)
    .describe('time without events after which a connection to a gate counts as lost, 50 to 60000 ms'),
  resumeWindowMs: count(50, 60_000)
    .default(6_000)
    .describe('time during which resuming a broken stream at its gate is attempted, 50 to 60000 ms'),
  cancelTimeoutMs: count(50, 60_000)
    .default(1_000)
    .describe('timeout of a cancellation sent to a gate, 50 to 60000 ms'),
  probeTimeoutMs: count(1, 10_000).default(50).describe('timeout of a probe sent to a gate, 1 to 10000 ms'),
  claimTimeoutMs: count(50, 60_000)
    .default(3_000)
    .describe('timeout for storing a claim on a quorum, 50 to 60000 ms'),
  maxAttempts: count(1, 10).default(4).describe('maximum number of attempts for one request, 1 to 10'),
  holdBytes: count(0, 16_777_216)
    .default(262_144)
    .describe(
      'answers that are not streamed are buffered up to this size, 0 to 16777216 bytes, so that a broken one can be retried',
    ),
  continuationBytes: count(0, 67_108_864)
    .default(1_048_576)
    .describe('maximum stream output kept so that another target can continue it, 0 to 67108864 bytes'),
  drainDelayMs: count(0, 600_000)
    .default(5_000)
    .describe(
      'time for which a stopping entry keeps accepting requests, 0 to 600000 ms, until load balancers have noticed',
    ),
  seed: count(0, 4_294_967_295)
    .default(0)
    .describe('random seed of routing decisions, 0 to 4294967295; 0: derived from the instance name'),
});

/** Settings of one entry process. */
export type EntrySettings = z.output<typeof entrySettings>;
