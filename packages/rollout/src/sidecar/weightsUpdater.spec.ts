import { create } from '@bufbuild/protobuf';
import { ManualClock, fault, silentLog } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import { Knowledge } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import type { OrderOutcome, TargetPort, WeightsOrder } from '../port/index.js';
import type { Observation } from './observer.js';
import { WeightsKeeper } from './weightsUpdater.js';

const ADDRESS = '10.0.0.1:80';

/** A look at what it has, one at what runs there, and one for the order itself. */
const REPORTS_BEFORE_ORDER = 3;

/** A target that loads in 100 ms. */
class FakeTarget implements TargetPort {
  version = 1;
  running = 0;
  unstarted = 0;
  orders: WeightsOrder[] = [];
  outcome: OrderOutcome | 'none' = 'accepted';
  /** An order without an answer is carried out all the same. */
  silent = false;
  private readyAt = 0;

  constructor(private readonly clock: ManualClock) {}

  report: TargetPort['report'] = () => {
    const busy = this.clock.monotonic() < this.readyAt;
    const weights = new Map([['m', busy ? this.version - 1 : this.version]]);
    return Promise.resolve(
      ok({
        weights,
        busy,
        orders: this.orders.length,
        waiting: 0,
        running: this.running,
        unstarted: this.unstarted,
      }),
    );
  };

  cacheNews: TargetPort['cacheNews'] = () => Promise.resolve(undefined);

  identity: TargetPort['identity'] = () => Promise.resolve(ok({ name: 't1', capacity: 4 }));

  order: TargetPort['order'] = (order) => {
    this.orders.push(order);
    if (this.outcome === 'accepted') {
      this.version = order.version;
      this.readyAt = this.clock.monotonic() + 100;
    }
    if (this.silent) return Promise.resolve(err(fault('target-lost', 'no answer')));
    return Promise.resolve(ok(this.outcome === 'none' ? 'overtaken' : this.outcome));
  };
}

describe('the keeper of weights', () => {
  let clock: ManualClock;
  let target: FakeTarget;
  let knowledge: Knowledge;
  let told: Observation[];
  let granted: boolean;
  let fence: bigint;
  /** Fences of the turns that it holds, and names of those that others hold. */
  let held: Map<string, bigint>;
  let denied: Set<string>;
  let asks: number;

  beforeEach(() => {
    clock = new ManualClock();
    target = new FakeTarget(clock);
    knowledge = new Knowledge(clock, silentLog);
    told = [];
    granted = true;
    fence = 0n;
    held = new Map();
    denied = new Set();
    asks = 0;
    announce('t1', ADDRESS, 1);
  });

  function announce(id: string, address: string, version: number): void {
    const one = { id, service: 's', address, dataCentre: 'here', capacity: 4, sequence: 1n };
    const weights = [{ model: 'm', version: BigInt(version) }];
    const announcement = controlMessage.Announcement.READY;
    const targets = [{ ...one, weights, announcement }];
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { vouched: true, targets }), false);
  }

  const name = (version: number): void => {
    const weights = [{ model: 'm', version: BigInt(version), ageMs: 0 }];
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { vouched: true, weights }), false);
  };

  const keeper = (): WeightsKeeper =>
    new WeightsKeeper({
      name: 'a1',
      incarnation: 1n,
      address: ADDRESS,
      service: 's',
      orderGapMs: 3_000,
      news: new ChangeSignal(),
      weightsLimitMs: 8_000,
      port: target,
      knowledge,
      turns: {
        take: ({ name: turn = '' }) => {
          asks += 1;
          const isGranted = granted && !denied.has(turn);
          if (isGranted && !held.has(turn)) {
            fence += 1n;
            held.set(turn, fence);
          }
          return Promise.resolve(ok({ granted: isGranted, fence: held.get(turn) ?? 0n }));
        },
        release: ({ name: turn }) => {
          held.delete(turn);
          return Promise.resolve(ok());
        },
      },
      observer: {
        tell: (observation: Observation) => {
          told.push(observation);
          return Promise.resolve();
        },
      },
      clock,
      log: silentLog,
    });

  /** One look, with time moving on until it is over. */
  async function look(one = keeper()): Promise<void> {
    const state = { done: false };
    const looking = one.look().then(() => {
      state.done = true;
    });
    for (let step = 0; step < 2_000 && !state.done; step += 1) await clock.advance(10);
    await looking;
  }

  it('tells of a pause, orders the named version under its fence, and tells of its end', async () => {
    name(3);
    await look();
    expect(target.orders).toEqual([
      {
        model: 'm',
        version: 3,
        runs: 'finish',
        holder: 'a1',
        fence: 2n,
        expectedOrders: 0,
        targetName: 't1',
      },
    ]);
    expect(told.map(({ paused, number }) => [paused, number])).toEqual([
      [true, 2n],
      [false, 3n],
    ]);
    expect(told.at(-1)?.weights.get('m')).toBe(3);
  });

  // Guards against a target that has its new weights and gets no work for a moment.
  it('numbers the end of a pause higher than its begin, and the next begin higher still', async () => {
    name(2);
    await look();
    name(3);
    await look();
    const numbers = told.map(({ number }) => number);
    expect(numbers.length).toBeGreaterThanOrEqual(4);
    expect(new Set(numbers).size).toBe(numbers.length);
    expect([...numbers].sort((a, b) => Number(a - b))).toEqual(numbers);
  });

  // Guards against first tokens that are nearly all late while weights are replaced under load.
  it('does not take the target out for long runs, and waits for what has made nothing yet', async () => {
    name(2);
    target.running = 3;
    target.unstarted = 1;
    const looking = look();
    await clock.advance(700);
    expect(target.orders).toHaveLength(0);
    target.unstarted = 0;
    await looking;
    expect(target.orders.map(({ runs }) => runs)).toEqual(['continue']);
    expect(clock.monotonic()).toBeLessThan(2_000);
  });

  it('leaves out versions that were overtaken', async () => {
    name(2);
    name(5);
    await look();
    expect(target.orders.map(({ version }) => version)).toEqual([5]);
  });

  it('does nothing without a turn', async () => {
    granted = false;
    name(2);
    await look();
    expect(target.orders).toEqual([]);
    expect(told).toEqual([]);
  });

  // Guards against two holders that give one target orders by turns.
  it('gives no order while another holder has the right to, and asks again', async () => {
    denied.add(`orders/${ADDRESS}`);
    name(2);
    await look();
    expect(target.orders).toEqual([]);
    expect(told).toEqual([]);
    denied.clear();
    await look();
    expect(target.orders).toHaveLength(1);
  });

  it('keeps the right to order after its last order, until its time is over', async () => {
    // Cause: given back at once, it would go to another holder within the gap that is agreed between two of them.
    name(2);
    await look();
    expect([...held.keys()]).toEqual([`orders/${ADDRESS}`]);
    const kept = asks;
    await clock.advance(20_000);
    expect(asks).toBe(kept);
  });

  // Guards against a process that was suspended and gives an order after another one has taken its place.
  it('gives no order when the right to was lost while the target was made ready', async () => {
    target.unstarted = 1;
    name(2);
    const looking = look();
    await clock.advance(100);
    held.set(`orders/${ADDRESS}`, 99n);
    target.unstarted = 0;
    await looking;
    expect(target.orders).toEqual([]);
    expect(told.at(-1)).toMatchObject({ paused: false });
  });

  // Guards against an order of a holder whose right another has taken while it waited for the target's report.
  it('gives no order when the right to was lost while the target reported', async () => {
    name(2);
    const { report } = target;
    const reports: number[] = [];
    target.report = (timeoutMs) => {
      reports.push(clock.monotonic());
      const isLast = reports.length === REPORTS_BEFORE_ORDER;
      if (isLast) denied.add(`orders/${ADDRESS}`);
      return report(timeoutMs);
    };
    await look();
    expect(reports.length).toBeGreaterThanOrEqual(REPORTS_BEFORE_ORDER);
    expect(target.orders).toEqual([]);
  });

  // Guards against an order that is given twice, or a target that stays paused for good.
  it('goes by what the target reports when an order gets no answer', async () => {
    target.silent = true;
    name(2);
    await look();
    expect(target.orders).toHaveLength(1);
    expect(told.at(-1)).toMatchObject({ paused: false });
    expect(told.at(-1)?.weights.get('m')).toBe(2);
  });

  it('ends the pause when the target refuses the order', async () => {
    target.outcome = 'fenced';
    name(2);
    await look();
    expect(told.map(({ paused }) => paused)).toEqual([true, false]);
  });

  /** How often a turn is asked for in ten seconds in which others have it, beside so many other targets. */
  async function asksBeside(others: number): Promise<number> {
    for (let n = 2; n < others + 2; n += 1) announce(`t${n}`, `10.0.0.${n}:80`, 1);
    granted = false;
    name(2);
    const one = keeper();
    void one.run();
    for (let step = 0; step < 1_000; step += 1) await clock.advance(10);
    one.stop();
    return asks;
  }

  // Guards against a log that takes hundreds of entries a second which change nothing.
  it('asks for a turn less often the more targets ask', async () => {
    const asks = await asksBeside(38);
    expect(asks).toBeGreaterThan(4);
    expect(asks).toBeLessThan(25);
  });

  it('asks often where few do', async () => {
    expect(await asksBeside(2)).toBeGreaterThan(60);
  });

  it('lets lower ids go first among equals', async () => {
    announce('t0', '10.0.0.2:80', 1);
    name(2);
    await look();
    expect(target.orders).toEqual([]);
    announce('t0', '10.0.0.2:80', 2);
    await look();
    expect(target.orders).toHaveLength(1);
  });

  // Guards against a rollout that stands still for seconds, after which several targets load at once.
  it('does not wait for a target that is next and does nothing', async () => {
    const one = keeper();
    announce('t0', '10.0.0.2:80', 1);
    name(2);
    await look(one);
    await clock.advance(400);
    await look(one);
    expect(target.orders).toEqual([]);
    await clock.advance(200);
    await look(one);
    expect(target.orders).toHaveLength(1);
  });

  // Guards against a target that stays on the first of several versions named in quick succession.
  it('lets targets go first that are further behind, for a while', async () => {
    target.version = 2;
    announce('t1', ADDRESS, 2);
    announce('t2', '10.0.0.2:80', 1);
    name(3);
    await look();
    expect(target.orders).toEqual([]);
    await clock.advance(3_001);
    await look();
    expect(target.orders).toHaveLength(1);
  });
});
