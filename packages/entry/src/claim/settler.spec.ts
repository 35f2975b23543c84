import { err, ok } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import { ManualClock, fault, silentLog } from '@jasmineroute/core';
import { Settler } from './settler.js';

const unreachable = () =>
  Promise.resolve(err(fault('claims-unavailable', 'no claim', { cause: new Error('silent') })));

describe('outcomes of claimed calls', () => {
  it('are sent until they are recorded', async () => {
    // Symptom: a key stays taken, and resends are refused as running, long after control is back.
    // Sequence: control is out of reach for a minute just when a call ends.
    // Cause: the outcome was given up after a few tries.
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

  it('are sent a few at a time', async () => {
    // Symptom: control does not come back after a failure, because all entries call it all the time.
    // Sequence: control is out of reach while thousands of calls end.
    // Cause: each outcome is sent again and again by itself.
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

  it('are over when the control instances answer that the key is not held any more', async () => {
    const settler = new Settler(new ManualClock(), silentLog);
    await settler.settle({
      attemptId: 'a',
      send: () => Promise.resolve(err(fault('claims-unavailable', 'the attempt no longer holds the key'))),
    });
    expect(settler.size).toBe(0);
  });

  it('hold a planned stop up for a stated time at most', async () => {
    const clock = new ManualClock();
    const settler = new Settler(clock, silentLog);
    void settler.settle({ attemptId: 'a', send: unreachable });
    const idle = settler.idle(5_000);
    await clock.advance(5_000);
    await idle;
    expect(settler.size).toBe(1);
  });
});
