import { create } from '@bufbuild/protobuf';
import { ManualClock, fault, silentLog } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import { ClusterView } from '@jasmineroute/knowledge';
import { controlMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import type { OrderOutcome, TargetPort, WeightsOrder } from '../port/index.js';
import type { Observation } from './observer.js';
import { WeightsUpdater } from './weightsUpdater.js';

const ADDRESS = '10.0.0.1:80';

/** Reports on the weights, on the runs, and for the order itself. */
const REPORTS_BEFORE_ORDER = 3;

/** A target that loads in 100 ms. */
class FakeTarget implements TargetPort {
  version = 1;
  running = 0;
  unstarted = 0;
  orders: WeightsOrder[] = [];
  outcome: OrderOutcome | 'none' = 'accepted';
  /** Orders are carried out without an answer. */
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

describe('the updater of weights', () => {
  let clock: ManualClock;
  let target: FakeTarget;
  let knowledge: ClusterView;
  let observations: Observation[];
  let granted: boolean;
  let fence: bigint;
  /** Fences of the turns held by the updater, and names of those held by others. */
  let held: Map<string, bigint>;
  let denied: Set<string>;
  let turnRequests: number;

  beforeEach(() => {
    clock = new ManualClock();
    target = new FakeTarget(clock);
    knowledge = new ClusterView(clock, silentLog);
    observations = [];
    granted = true;
    fence = 0n;
    held = new Map();
    denied = new Set();
    turnRequests = 0;
    announce('t1', ADDRESS, 1);
  });

  function announce(id: string, address: string, version: number): void {
    const one = { id, service: 's', address, dataCentre: 'here', capacity: 4, sequence: 1n };
    const weights = [{ model: 'm', version: BigInt(version) }];
    const announcement = controlMessage.Announcement.READY;
    const targets = [{ ...one, weights, announcement }];
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { vouched: true, targets }), false);
  }

  const request = (version: number): void => {
    const weights = [{ model: 'm', version: BigInt(version), ageMs: 0 }];
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { vouched: true, weights }), false);
  };

  const updater = (): WeightsUpdater =>
    new WeightsUpdater({
      name: 'a1',
      incarnation: 1n,
      address: ADDRESS,
      service: 's',
      orderGapMs: 3_000,
      changes: new ChangeSignal(),
      weightsLimitMs: 8_000,
      port: target,
      knowledge,
      turns: {
        take: ({ name: turn = '' }) => {
          turnRequests += 1;
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
          observations.push(observation);
          return Promise.resolve();
        },
      },
      clock,
      log: silentLog,
    });

  /** One poll, with the clock advanced until it ends. */
  async function look(one = updater()): Promise<void> {
    const state = { done: false };
    const looking = one.poll().then(() => {
      state.done = true;
    });
    for (let step = 0; step < 2_000 && !state.done; step += 1) await clock.advance(10);
    await looking;
  }

  it('announces a pause, orders the requested version under its fence, and announces the end', async () => {
    request(3);
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
    expect(observations.map(({ paused, number }) => [paused, number])).toEqual([
      [true, 2n],
      [false, 3n],
    ]);
    expect(observations.at(-1)?.weights.get('m')).toBe(3);
  });

  // Guards against a target that has its new weights and gets no work for some time.
  it('numbers the end of a pause higher than its begin, and the next begin higher still', async () => {
    request(2);
    await look();
    request(3);
    await look();
    const numbers = observations.map(({ number }) => number);
    expect(numbers.length).toBeGreaterThanOrEqual(4);
    expect(new Set(numbers).size).toBe(numbers.length);
    expect([...numbers].sort((a, b) => Number(a - b))).toEqual(numbers);
  });

  // Guards against late first tokens for nearly all requests while weights are replaced under load.
  it('does not wait for long runs, but for requests without output', async () => {
    request(2);
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

  it('skips superseded versions', async () => {
    request(2);
    request(5);
    await look();
    expect(target.orders.map(({ version }) => version)).toEqual([5]);
  });

  it('does nothing without a turn', async () => {
    granted = false;
    request(2);
    await look();
    expect(target.orders).toEqual([]);
    expect(observations).toEqual([]);
  });

  // Guards against two holders that order one target alternately.
  it('gives no order while another holder has the right to order, and retries', async () => {
    denied.add(`orders/${ADDRESS}`);
    request(2);
    await look();
    expect(target.orders).toEqual([]);
    expect(observations).toEqual([]);
    denied.clear();
    await look();
    expect(target.orders).toHaveLength(1);
  });

  it('lets the right to order lapse instead of releasing it', async () => {
    // Released at once, it could pass to another holder within the agreed gap between two holders.
    request(2);
    await look();
    expect([...held.keys()]).toEqual([`orders/${ADDRESS}`]);
    const kept = turnRequests;
    await clock.advance(20_000);
    expect(turnRequests).toBe(kept);
  });

  // Guards against a process that was suspended and gives an order after another one has taken its place.
  it('gives no order when the right to order was lost while waiting for runs', async () => {
    target.unstarted = 1;
    request(2);
    const looking = look();
    await clock.advance(100);
    held.set(`orders/${ADDRESS}`, 99n);
    target.unstarted = 0;
    await looking;
    expect(target.orders).toEqual([]);
    expect(observations.at(-1)).toMatchObject({ paused: false });
  });

  // Guards against an order of a holder that has lost its right to another one while it waited for the target's report.
  it('gives no order when the right to order was lost while the target reported', async () => {
    request(2);
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
  it('goes by the reports of the target when an order gets no answer', async () => {
    target.silent = true;
    request(2);
    await look();
    expect(target.orders).toHaveLength(1);
    expect(observations.at(-1)).toMatchObject({ paused: false });
    expect(observations.at(-1)?.weights.get('m')).toBe(2);
  });

  it('ends the pause when the target refuses the order', async () => {
    target.outcome = 'fenced';
    request(2);
    await look();
    expect(observations.map(({ paused }) => paused)).toEqual([true, false]);
  });

  /** Number of requests for a turn in ten seconds in which others hold it, with `others` other targets. */
  async function turnRequestsWith(others: number): Promise<number> {
    for (let n = 2; n < others + 2; n += 1) announce(`t${n}`, `10.0.0.${n}:80`, 1);
    granted = false;
    request(2);
    const one = updater();
    void one.run();
    for (let step = 0; step < 1_000; step += 1) await clock.advance(10);
    one.stop();
    return turnRequests;
  }

  // Guards against hundreds of entries a second in the replicated log that change nothing.
  it('requests a turn less often the more targets there are', async () => {
    const asks = await turnRequestsWith(38);
    expect(asks).toBeGreaterThan(4);
    expect(asks).toBeLessThan(25);
  });

  it('requests a turn often with few targets', async () => {
    expect(await turnRequestsWith(2)).toBeGreaterThan(60);
  });

  it('lets lower ids go first among equals', async () => {
    announce('t0', '10.0.0.2:80', 1);
    request(2);
    await look();
    expect(target.orders).toEqual([]);
    announce('t0', '10.0.0.2:80', 2);
    await look();
    expect(target.orders).toHaveLength(1);
  });

  // Guards against a rollout that stalls for seconds, after which several targets load at once.
  it('does not wait for a target that is next and does not load', async () => {
    const one = updater();
    announce('t0', '10.0.0.2:80', 1);
    request(2);
    await look(one);
    await clock.advance(400);
    await look(one);
    expect(target.orders).toEqual([]);
    await clock.advance(200);
    await look(one);
    expect(target.orders).toHaveLength(1);
  });

  // Guards against a target that stays on the first of several versions requested in quick succession.
  it('yields to targets with older weights for a limited time', async () => {
    target.version = 2;
    announce('t1', ADDRESS, 2);
    announce('t2', '10.0.0.2:80', 1);
    request(3);
    await look();
    expect(target.orders).toEqual([]);
    await clock.advance(3_001);
    await look();
    expect(target.orders).toHaveLength(1);
  });
});
