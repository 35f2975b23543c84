import { ManualClock } from '@jasmineroute/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ExecutorTestbed } from '../fixture/index.js';
import { SettledNames } from './settledNames.js';
import { TURN_TTL_MS, Turn } from './turn.js';

const { signal } = new AbortController();

const versions = (testbed: ExecutorTestbed): string[] =>
  testbed.targets
    .map(({ loaded }) => loaded.map(({ model, version }) => `${model}@${version}`).join())
    .sort();

describe('the executor', () => {
  it('brings every target to the models of the document', async () => {
    const testbed = new ExecutorTestbed(['t1', 't2', 't3', 't4']);
    const captions = { name: 'captions', version: '3' };
    testbed.applyDocument([
      { name: 'a', version: '1', adapters: [captions] },
      { name: 'b', version: '1' },
    ]);
    testbed.target('t1').loaded = [{ model: 'old', version: '1', adapters: [] }];
    await testbed.settle();
    expect(versions(testbed)).toEqual(['a@1', 'a@1', 'b@1', 'b@1']);
    const adapters = testbed.targets.flatMap(({ loaded }) => loaded).filter(({ model }) => model === 'a');
    expect(adapters.map((one) => one.adapters)).toEqual([[captions], [captions]]);
  });

  it('does nothing without a vouched view or a managed document', async () => {
    const testbed = new ExecutorTestbed(['t1']);
    testbed.applyDocument([{ name: 'a', version: '1' }], { managed: false });
    expect(await testbed.target('t1').executor().round(signal)).toBe('idle');
    testbed.applyDocument([{ name: 'a', version: '1' }]);
    testbed.vouched = false;
    expect(await testbed.target('t1').executor().round(signal)).toBe('idle');
    expect(testbed.target('t1').orders).toEqual([]);
  });

  it.each([1, 2, 3, 7])(
    'rolls new weights out over %i targets and never leaves the model without one',
    async (n) => {
      // No target serves the model for the minutes of a rollout. All targets see the new version at the same time,
      // each sees the others serve the old one, and each removes the old weights relying on the others.
      const testbed = new ExecutorTestbed(Array.from({ length: n }, (_, index) => `t${index}`));
      testbed.applyDocument([{ name: 'a', version: '1' }], { concurrentLoads: 8 });
      await testbed.settle();
      testbed.requiredModels = ['a'];
      testbed.applyDocument([{ name: 'a', version: '2' }], { concurrentLoads: 8 });
      await testbed.settle();
      expect(versions(testbed)).toEqual(Array.from({ length: n }, () => 'a@2'));
      expect(testbed.gaps).toEqual([]);
    },
  );

  it('moves a model to other targets and never leaves it without one', async () => {
    // No target serves a model for the time of a load. Shares change so that the only target with the model is
    // assigned another one, and it unloads the model before another target serves it.
    const testbed = new ExecutorTestbed(['t1', 't2', 't3', 't4', 't5', 't6']);
    testbed.applyDocument([
      { name: 'a', version: '1', share: 0.9 },
      { name: 'b', version: '1', share: 0.1 },
    ]);
    await testbed.settle();
    testbed.requiredModels = ['a', 'b'];
    testbed.applyDocument([
      { name: 'a', version: '1', share: 0.1 },
      { name: 'b', version: '1', share: 0.9 },
    ]);
    await testbed.settle();
    expect(versions(testbed)).toEqual(['a@1', 'b@1', 'b@1', 'b@1', 'b@1', 'b@1']);
    expect(testbed.gaps).toEqual([]);
  });

  it('never leaves a model without a target for any sequence of documents', async () => {
    // No target serves a model for a moment. Shares and versions change while earlier changes are in progress,
    // targets act concurrently, and one relies on another that is about to unload.
    const change = fc.record({
      share: fc.constantFrom(0.1, 0.5, 0.9),
      a: fc.constantFrom('1', '2'),
      b: fc.constantFrom('1', '2'),
      rounds: fc.integer({ min: 1, max: 4 }),
    });
    const scenario = fc.asyncProperty(
      fc.integer({ min: 2, max: 6 }),
      fc.array(change, { minLength: 1, maxLength: 6 }),
      fc.array(fc.integer({ min: 0, max: 3 }), { minLength: 5, maxLength: 20 }),
      async (count, changes, pauses) => {
        const testbed = new ExecutorTestbed(Array.from({ length: count }, (_, index) => `t${index}`));
        let turn = 0;
        for (const target of testbed.targets) {
          target.beforeOrder = async () => {
            const ticks = pauses[turn++ % pauses.length] ?? 0;
            for (let tick = 0; tick < ticks; tick++) await new Promise((resolve) => setImmediate(resolve));
          };
        }
        const accept = ({ share, a, b }: { share: number; a: string; b: string }): void => {
          const models = [
            { name: 'a', version: a, share },
            { name: 'b', version: b, share: 1 - share },
          ];
          testbed.applyDocument(models, { concurrentLoads: 8 });
        };
        accept({ share: 0.5, a: '1', b: '1' });
        await testbed.settle();
        testbed.requiredModels = ['a', 'b'];
        for (const next of changes) {
          accept(next);
          for (let round = 0; round < next.rounds; round++) {
            await Promise.all(testbed.targets.map((target) => target.executor().round(signal)));
          }
        }
        await testbed.settle();
        expect(testbed.gaps).toEqual([]);
      },
    );
    await fc.assert(scenario, { numRuns: 150 });
  });

  it('does not exceed the concurrent loads from the weight store set by the document', async () => {
    const testbed = new ExecutorTestbed(['t1', 't2', 't3', 't4', 't5']);
    let [loading, most] = [0, 0];
    for (const target of testbed.targets) {
      target.beforeOrder = async () => {
        loading++;
        most = Math.max(most, loading);
        await new Promise((resolve) => setImmediate(resolve));
        loading--;
      };
    }
    testbed.applyDocument([{ name: 'a', version: '1' }], { concurrentLoads: 2 });
    await testbed.settle();
    expect(versions(testbed)).toEqual(Array.from({ length: 5 }, () => 'a@1'));
    expect(most).toBe(2);
  });

  it('drops an order when the document changed while it waited for its turn', async () => {
    // A target loads weights that were withdrawn minutes ago. A newer document is accepted while an order waits for
    // its turn, and the order is sent unchanged once the turn is granted.
    const testbed = new ExecutorTestbed(['t1']);
    testbed.applyDocument([{ name: 'a', version: '1' }]);
    const take = testbed.turns.take.bind(testbed.turns);
    testbed.turns.take = (request) => {
      testbed.applyDocument([{ name: 'a', version: '2' }]);
      return take(request);
    };
    expect(await testbed.target('t1').executor().round(signal)).toBe('not-now');
    expect(testbed.target('t1').orders).toEqual([]);
    await testbed.settle();
    expect(versions(testbed)).toEqual(['a@2']);
  });

  it('sends no orders while an older process of the same target holds the turn', async () => {
    // Two executors send one target contradictory orders without end. An agent is paused in the middle of an order,
    // replaced and resumed, and the right to send orders is not limited to one process at a time.
    const clock = new ManualClock();
    const testbed = new ExecutorTestbed(['t1'], clock);
    const target = testbed.target('t1');
    testbed.applyDocument([{ name: 'a', version: '1' }]);
    let resume: () => void = () => undefined;
    target.beforeOrder = () =>
      new Promise((resolve) => {
        resume = resolve;
      });
    const old = target.executor(1n).round(signal);
    await clock.advance(0);
    target.beforeOrder = () => Promise.resolve();
    expect(await target.executor(2n).round(signal)).toBe('not-now');
    expect(target.orders).toHaveLength(1);
    resume();
    await old;
    testbed.applyDocument([{ name: 'a', version: '2' }]);
    expect(await target.executor(2n).round(signal)).toBe('done');
    expect(target.orders.map(({ fence }) => fence)).toEqual(
      [...target.orders.map(({ fence }) => fence)].sort(),
    );
  });

  it.each([true, false])('converges when an old order arrives late (fences checked: %s)', async (checks) => {
    // A target keeps the weights of an outdated order. An order of a dead agent reaches the engine after those of
    // its successor, the engine executes it, and its state is not read again.
    const testbed = new ExecutorTestbed(['t1']);
    const target = testbed.target('t1');
    target.checksFence = checks;
    testbed.applyDocument([{ name: 'a', version: '2' }]);
    await testbed.turns.take({ name: 'other', holder: 'x', incarnation: 1n, limit: 1, ttlMs: 1_000 });
    await testbed.settle();
    await target.execute({ type: 'load-model', model: 'a', version: '1' }, 1n);
    expect(versions(testbed)).toEqual([checks ? 'a@2' : 'a@1']);
    await testbed.settle();
    expect(versions(testbed)).toEqual(['a@2']);
  });
});

describe('a turn', () => {
  const request = { name: 'n', holder: 'h', incarnation: 1n, limit: 1 };

  it('is renewed while it is held', async () => {
    const clock = new ManualClock();
    const testbed = new ExecutorTestbed([], clock);
    const turn = await Turn.take(testbed.turns, clock, request);
    for (let step = 0; step < 30; step++) await clock.advance(1_000);
    expect(turn?.held).toBe(true);
    expect(await Turn.take(testbed.turns, clock, { ...request, holder: 'other' })).toBeUndefined();
    await turn?.release();
    expect(turn?.held).toBe(false);
    expect(await Turn.take(testbed.turns, clock, { ...request, holder: 'other' })).toBeDefined();
  });

  it('counts as lost before another holder can take it', async () => {
    // Two holders of one turn act at the same time. The holder can no longer reach the control instances, the turn
    // expires there, and the holder keeps acting because no answer says so.
    const clock = new ManualClock();
    const testbed = new ExecutorTestbed([], clock);
    const turn = await Turn.take(testbed.turns, clock, request);
    const take = testbed.turns.take.bind(testbed.turns);
    testbed.turns.take = (taken) => (taken.holder === 'h' ? new Promise(() => undefined) : take(taken));
    let lostAt: number | undefined;
    for (let at = 0; at < TURN_TTL_MS + 2_000; at += 100) {
      await clock.advance(100);
      if (turn?.held === false) lostAt ??= clock.monotonic();
      const other = await Turn.take(testbed.turns, clock, { ...request, holder: 'other' });
      if (other === undefined) continue;
      expect(lostAt).toBeDefined();
      expect(clock.monotonic()).toBeGreaterThan(lostAt ?? Number.POSITIVE_INFINITY);
      return;
    }
    throw new Error('the turn never became available');
  });
});

describe('SettledNames', () => {
  it('adopts a change only after the settle time', async () => {
    const clock = new ManualClock();
    const names = new SettledNames(clock, 1_000);
    expect(names.update(['a', 'b'])).toBeUndefined();
    await clock.advance(1_000);
    expect(names.update(['a', 'b'])).toEqual(['a', 'b']);
    expect(names.update(['a'])).toEqual(['a', 'b']);
    await clock.advance(500);
    expect(names.update(['a', 'b'])).toEqual(['a', 'b']);
    await clock.advance(500);
    expect(names.update(['a'])).toEqual(['a', 'b']);
    await clock.advance(1_000);
    expect(names.update(['a'])).toEqual(['a']);
  });
});
