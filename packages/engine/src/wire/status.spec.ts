/** Answers whose status is none. */
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import { afterEach, describe, expect, it } from 'vitest';
import { RawTargets, headOf } from '../testing/rawTarget.js';

const PART = 'a part of the answer';

const targets = new RawTargets();

afterEach(() => {
  targets.close();
});

describe('an answer whose status is no status', () => {
  const answerWith = async (status: string): Promise<Result<string, Fault>> => {
    const place = await targets.serve((socket) => {
      socket.once('data', () => {
        socket.write(`${headOf(`${status} Trouble`, `content-length: ${PART.length}\r\n`)}${PART}`);
      });
    });
    return targets.ask(place, Buffer.from('question'));
  };

  // Guards against an answer of a target in trouble that is passed on as if it were one.
  it.each(['000', '001', '099', '600', '999'])('%s is none', async (status) => {
    const expected = { kind: 'answer-mismatch', ran: 'may-have-run' };
    expect((await answerWith(status))._unsafeUnwrapErr()).toMatchObject(expected);
  });

  // Guards against the same for what is no number of three digits.
  it.each(['0', '20', '1000', '-1', 'abc'])('%s is none', async (status) => {
    expect((await answerWith(status))._unsafeUnwrapErr()).toMatchObject({ ran: 'may-have-run' });
  });
});
