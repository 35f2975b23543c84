import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import { LocalLog } from '../fixture/index.js';
import { createState } from '../role/index.js';
import type { StateParts } from '../role/index.js';
import { Proposer } from './proposer.js';

const LIMITS = { inFlight: 1, batch: 8, batchBytes: 10_000, waitingBytes: 100_000, timeoutMs: 1_000 };

describe('proposer', () => {
  let state: StateParts;
  let log: LocalLog;
  let proposer: Proposer;

  beforeEach(() => {
    state = createState();
    log = new LocalLog(state.machine);
    proposer = new Proposer(log, LIMITS);
  });

  const take = (name: string) => proposer.propose('take', { name, holder: 'h', limit: 1, ttlMs: 1_000 });

  it('sends the first command at once and batches those that wait meanwhile', async () => {
    const answers = await Promise.all(Array.from({ length: 18 }, (_, index) => take(`t${index}`)));
    expect(answers.map((answer) => answer._unsafeUnwrap().fence)).toEqual(
      Array.from({ length: 18 }, (_, index) => BigInt(index + 1)),
    );
    expect(log.entries).toHaveLength(1 + Math.ceil(17 / LIMITS.batch));
  });

  it('keeps batches and the queue within their byte limits', async () => {
    // Guards against a control instance that runs out of memory and against a batch that is too long for one message:
    // many operators apply long documents, or entries settle with long answers, at once, and only the number of commands
    // is limited.
    const long = 'x'.repeat(6_000);
    const answers = await Promise.all(Array.from({ length: 30 }, () => take(long)));
    const refused = answers.filter((answer) => answer.isErr() && answer.error.kind === 'overloaded');
    expect(refused.length).toBeGreaterThan(0);
    expect(answers.length - refused.length).toBe(log.entries.length);
    expect(Math.max(...log.entries.map((entry) => entry.byteLength))).toBeLessThan(LIMITS.batchBytes);
  });

  it('returns the same fault for each command of a lost batch and continues', async () => {
    log.lostAnswers = 1;
    const first = await take('a');
    expect(first._unsafeUnwrapErr()).toMatchObject({ kind: 'no-quorum', ran: 'may-have-run' });
    expect((await take('b')).isOk()).toBe(true);
  });

  it('is idle once all commands have an outcome', async () => {
    await proposer.idle();
    const running = Promise.all([take('a'), take('b'), take('c')]);
    await proposer.idle();
    expect(log.entries).toHaveLength(2);
    await running;
  });

  it('reports a command without an outcome as a fault', async () => {
    // Guards against an instance of an older release that confirms a command which it did not apply: the log holds a
    // command of a newer peer that it can't decode, it leads, and an empty answer is treated as success.
    state.machine.apply(0n, Uint8Array.of(0xff));
    const answer: Result<unknown, Fault> = await take('a');
    expect(answer).toEqual(err(fault('internal', 'an outcome is missing')));
  });
});
