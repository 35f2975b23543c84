import { ManualClock, silentLog } from '@jasmineroute/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LocalLog } from '../fixture/index.js';
import { Proposer } from '../log/index.js';
import { createState } from '../role/index.js';
import type { StateParts } from '../role/index.js';
import { MAX_STEP_MS } from '../state/index.js';
import { LogTimeAdvancer } from './logTimeAdvancer.js';

const LIMITS = { inFlight: 1, batch: 8, batchBytes: 10_000, waitingBytes: 100_000, timeoutMs: 1_000 };

describe('log time', () => {
  let clock: ManualClock;
  let state: StateParts;
  let log: LocalLog;
  let advancer: LogTimeAdvancer;
  let proposer: Proposer;

  beforeEach(async () => {
    clock = new ManualClock();
    state = createState();
    log = new LocalLog(state.machine);
    proposer = new Proposer(log, LIMITS);
    advancer = new LogTimeAdvancer(state.machine, log, proposer, clock, silentLog);
    void advancer.run();
    await proposer.propose('take', { name: 't', holder: 'a', incarnation: 1n, limit: 1, ttlMs: 600_000 });
  });

  afterEach(() => {
    advancer.stop();
  });

  /** Advances the clock in steps and waits for the proposals after each. */
  const pass = async (ms: number): Promise<void> => {
    for (let left = ms; left > 0; left -= 100) {
      await clock.advance(Math.min(left, 100));
      await proposer.idle();
      await new Promise((resolve) => setImmediate(resolve));
    }
  };

  it('follows real time and never runs ahead', async () => {
    const start = clock.monotonic();
    await pass(20_000);
    const elapsed = clock.monotonic() - start;
    expect(state.machine.now()).toBeLessThanOrEqual(elapsed);
    expect(state.machine.now()).toBeGreaterThan(elapsed - 2_000);
  });

  it('adds one step at most after a pause', async () => {
    // Guards against leases that expire all at once while their holders are alive: the leader's process stops for
    // minutes and resumes as leader, and the whole pause is added although no renewal could arrive during it.
    await pass(5_000);
    const before = state.machine.now();
    await clock.advance(100);
    clock.monotonic = () => 10_000_000;
    await clock.advance(1_000);
    await proposer.idle();
    await new Promise((resolve) => setImmediate(resolve));
    expect(state.machine.now() - before).toBe(MAX_STEP_MS);
  });

  it('ignores the wall clock', async () => {
    // Guards against claims that expire early, so that a request runs twice: an operator or NTP sets the clock of the
    // leader's machine years ahead, and expiry is compared with the wall clock.
    clock.now = () => new Date('2036-01-01T00:00:00Z');
    await pass(5_000);
    expect(state.machine.now()).toBeLessThanOrEqual(5_000);
  });

  it('does not advance while this replica does not lead, nor when nothing expires', async () => {
    log.isolate(true);
    await pass(5_000);
    expect(state.machine.now()).toBe(0);
    log.isolate(false);
    await proposer.propose('release', { name: 't', holder: 'a', incarnation: 1n });
    const entries = log.entries.length;
    await pass(5_000);
    expect(log.entries).toHaveLength(entries);
  });
});
