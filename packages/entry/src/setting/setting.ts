/** Settings of the entry role. Durations in milliseconds, sizes in bytes. */
import * as z from 'zod';

const count = (least: number, most: number) => z.coerce.number().int().min(least).max(most);

/** All settings of the entry role, each with a default. */
export const entrySettings = z.object({
  httpHost: z.string().min(1).default('127.0.0.1').describe('IP address that callers reach, "127.0.0.1"'),
  httpPort: count(0, 65_535)
    .default(8_080)
    .describe('TCP port that callers reach, 0 to 65535; 0: a free one'),
  maxHeaderBytes: count(1_024, 1_048_576)
    .default(16_384)
    .describe('largest head of a request, 1024 to 1048576 bytes'),
  maxConnections: count(1, 1_000_000)
    .default(10_000)
    .describe("callers' connections held open at once, 1 to 1000000"),
  maxBodyBytes: count(1, 67_108_864)
    .default(67_108_864)
    .describe('largest body of any request, 1 to 67108864 bytes; documents may state less'),
  maxBufferedBytes: count(1_048_576, 8_589_934_592)
    .default(268_435_456)
    .describe('request bodies held at once in all, 1048576 to 8589934592 bytes'),
  headerTimeoutMs: count(100, 600_000)
    .default(10_000)
    .describe('time for the head of a request to arrive, 100 to 600000 ms'),
  requestTimeoutMs: count(100, 600_000)
    .default(30_000)
    .describe('time for a whole request to arrive, 100 to 600000 ms'),
  idleTimeoutMs: count(100, 3_600_000)
    .default(75_000)
    .describe('time that an idle keep-alive connection is held, 100 to 3600000 ms'),
  callerStallMs: count(100, 600_000)
    .default(30_000)
    .describe('time for which a caller may take no byte of its answer, 100 to 600000 ms'),
  callerPingMs: count(100, 600_000)
    .default(5_000)
    .describe('silence after which a streaming caller gets an SSE comment, 100 to 600000 ms'),
  streamSilenceMs: count(50, 60_000)
    .default(2_000)
    .describe('silence after which a connection to a gate counts as lost, 50 to 60000 ms'),
  resumeWindowMs: count(50, 60_000)
    .default(6_000)
    .describe('time for which a broken stream is resumed at its gate, 50 to 60000 ms'),
  cancelTimeoutMs: count(50, 60_000)
    .default(1_000)
    .describe('time for a gate to answer a cancellation, 50 to 60000 ms'),
  probeTimeoutMs: count(1, 10_000).default(50).describe('time for a gate to answer a probe, 1 to 10000 ms'),
  claimTimeoutMs: count(50, 60_000)
    .default(3_000)
    .describe('time for a claim to be held by a quorum, 50 to 60000 ms'),
  maxAttempts: count(1, 10).default(4).describe('attempts for one request, 1 to 10'),
  holdBytes: count(0, 16_777_216)
    .default(262_144)
    .describe('plain answer held back until whole, 0 to 16777216 bytes, so that a break can be mended'),
  continuationBytes: count(0, 67_108_864)
    .default(1_048_576)
    .describe('stream output kept to continue it elsewhere, 0 to 67108864 bytes'),
  drainDelayMs: count(0, 600_000)
    .default(5_000)
    .describe('time that a stopping entry goes on accepting, 0 to 600000 ms, so that balancers notice'),
  seed: count(0, 4_294_967_295)
    .default(0)
    .describe('seed of routing decisions, 0 to 4294967295; 0: from the name'),
});

/** Settings of one entry process. */
export type EntrySettings = z.output<typeof entrySettings>;
