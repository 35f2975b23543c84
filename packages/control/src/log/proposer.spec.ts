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

  it('sends the first command at once and what waits meanwhile together', async () => {
    const answers = await Promise.all(Array.from({ length: 18 }, (_, index) => take(`t${index}`)));
    expect(answers.map((answer) => answer._unsafeUnwrap().fence)).toEqual(
      Array.from({ length: 18 }, (_, index) => BigInt(index + 1)),
    );
    expect(log.entries).toHaveLength(1 + Math.ceil(17 / LIMITS.batch));
  });

  it('keeps batches and the queue within their bytes', async () => {
    // Symptom: a control instance runs out of memory, or a batch is too long for one message.
    // Sequence: many operators apply long documents, or entries settle with long answers, all at once.
    // Cause: commands were counted, and their lengths weren't.
    const long = 'x'.repeat(6_000);
    const answers = await Promise.all(Array.from({ length: 30 }, () => take(long)));
    const refused = answers.filter((answer) => answer.isErr() && answer.error.kind === 'overloaded');
    expect(refused.length).toBeGreaterThan(0);
    expect(answers.length - refused.length).toBe(log.entries.length);
    expect(Math.max(...log.entries.map((entry) => entry.byteLength))).toBeLessThan(LIMITS.batchBytes);
  });

  it('gives each command of a lost batch the same fault and goes on', async () => {
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

  it('reports a command without an outcome as not known', async () => {
    // Symptom: an instance of an older release confirms a command that it did not apply.
    // Sequence: its newer peers put a command into the log that it can't read; it leads and answers.
    // Cause: an empty answer was taken for success.
    state.machine.apply(0n, Uint8Array.of(0xff));
    const answer: Result<unknown, Fault> = await take('a');
    expect(answer).toEqual(err(fault('internal', 'an outcome is missing')));
  });
});
