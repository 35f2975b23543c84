import { err, ok } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import { ManualClock, fault, silentLog } from '@jasmineroute/core';
import { Settler } from './settler.js';

const unreachable = () =>
  Promise.resolve(err(fault('claims-unavailable', 'no claim', { cause: new Error('silent') })));

describe('outcomes of claimed calls', () => {
  // Guards against a key that stays claimed, so that retries are refused as running long after the control instances
  // are reachable again. They are unreachable for a minute when a call ends, and its outcome is dropped after a few
  // tries.
  it('are sent until they are recorded', async () => {
    const clock = new ManualClock();
    const settler = new Settler(clock, silentLog);
    let reachable = false;
    let sent = 0;
    const recorded = settler.settle({
      attemptId: 'a',
      send: () => {
        sent += 1;
        return reachable ? Promise.resolve(ok(undefined)) : unreachable();
      },
    });
    await clock.advance(60_000);
    expect(sent).toBeLessThan(30);
    reachable = true;
    await clock.advance(10_000);
    await recorded;
    expect(settler.size).toBe(0);
  });

  // Guards against control instances that can't recover from a failure because all entries keep calling them. Thousands
  // of calls end while the control instances are unreachable, and each outcome is retried independently.
  it('are sent with bounded concurrency', async () => {
    const clock = new ManualClock();
    const settler = new Settler(clock, silentLog);
    let sent = 0;
    for (let index = 0; index < 1_000; index += 1) {
      void settler.settle({
        attemptId: String(index),
        send: () => {
          sent += 1;
          return unreachable();
        },
      });
    }
    await clock.advance(10_000);
    expect(sent).toBeLessThan(200);
  });

  it('are not sent again when the control instances answer that the key is no longer held', async () => {
    const settler = new Settler(new ManualClock(), silentLog);
    await settler.settle({
      attemptId: 'a',
      send: () => Promise.resolve(err(fault('claims-unavailable', 'the attempt no longer holds the key'))),
    });
    expect(settler.size).toBe(0);
  });

  it('delay a planned stop for a bounded time', async () => {
    const clock = new ManualClock();
    const settler = new Settler(clock, silentLog);
    void settler.settle({ attemptId: 'a', send: unreachable });
    const idle = settler.idle(5_000);
    await clock.advance(5_000);
    await idle;
    expect(settler.size).toBe(1);
  });
});
