import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { MemoryBudget } from '@jasmineroute/entry';
import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { testDialect } from '../testing/dialect.js';
import { AnswerBuffer } from './answerBuffer.js';
import { CallerAnswer } from './callerAnswer.js';

const BODY = Buffer.alloc(1_000);

describe('a held answer', () => {
  // Guards against memory that callers fill who read no answers: what is not sent yet is held as well.
  it('counts until it is sent, or its connection has ended', () => {
    const budget = new MemoryBudget(10_000);
    const response = new ServerResponse(new IncomingMessage(new Socket()));
    const answer = new CallerAnswer(response, testDialect, new ManualClock(), { earliestAt: 0, readAt: 0 });
    const buffer = new AnswerBuffer(budget);
    buffer.tryAdd(BODY);
    answer.whole(200, [], buffer.take(), buffer.release);
    expect(budget.bytes).toBe(BODY.length);
    response.emit('close');
    expect(budget.bytes).toBe(0);
  });

  it('counts no more when its caller has left before', () => {
    const budget = new MemoryBudget(10_000);
    const response = new ServerResponse(new IncomingMessage(new Socket()));
    const answer = new CallerAnswer(response, testDialect, new ManualClock(), { earliestAt: 0, readAt: 0 });
    const buffer = new AnswerBuffer(budget);
    buffer.tryAdd(BODY);
    response.emit('close');
    answer.whole(200, [], buffer.take(), buffer.release);
    expect(budget.bytes).toBe(0);
  });
});
