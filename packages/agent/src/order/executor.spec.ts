import { ManualClock } from '@jasmineroute/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { OrderBed } from '../fixture/index.js';
import { SettledNames } from './settled.js';
import { TURN_TTL_MS, Turn } from './turn.js';

const { signal } = new AbortController();

const versions = (bed: OrderBed): string[] =>
  bed.targets.map(({ loaded }) => loaded.map(({ model, version }) => `${model}@${version}`).join()).sort();

describe('the executor', () => {
  it('brings every target to what the document wants', async () => {
    const bed = new OrderBed(['t1', 't2', 't3', 't4']);
    const captions = { name: 'captions', version: '3' };
    bed.accept([
      { name: 'a', version: '1', adapters: [captions] },
      { name: 'b', version: '1' },
    ]);
    bed.target('t1').loaded = [{ model: 'old', version: '1', adapters: [] }];
    await bed.settle();
    expect(versions(bed)).toEqual(['a@1', 'a@1', 'b@1', 'b@1']);
    const adapters = bed.targets.flatMap(({ loaded }) => loaded).filter(({ model }) => model === 'a');
    expect(adapters.map((one) => one.adapters)).toEqual([[captions], [captions]]);
  });

  it('does nothing without a vouched view or a managed document', async () => {
    const bed = new OrderBed(['t1']);
    bed.accept([{ name: 'a', version: '1' }], { managed: false });
    expect(await bed.target('t1').executor().round(signal)).toBe('idle');
    bed.accept([{ name: 'a', version: '1' }]);
    bed.vouched = false;
    expect(await bed.target('t1').executor().round(signal)).toBe('idle');
    expect(bed.target('t1').orders).toEqual([]);
  });

  it.each([1, 2, 3, 7])(
    'rolls new weights out over %i targets and never leaves the model without one',
    async (n) => {
      // Symptom: for the minutes of a rollout, nobody serves the model.
      // Sequence: all targets see the new version at the same time, and each sees the others serve the old one.
      // Cause: each took the old weights away, relying on the rest.
      const bed = new OrderBed(Array.from({ length: n }, (_, index) => `t${index}`));
      bed.accept([{ name: 'a', version: '1' }], { concurrentLoads: 8 });
      await bed.settle();
      bed.watched = ['a'];
      bed.accept([{ name: 'a', version: '2' }], { concurrentLoads: 8 });
      await bed.settle();
      expect(versions(bed)).toEqual(Array.from({ length: n }, () => 'a@2'));
      expect(bed.gaps).toEqual([]);
    },
  );

  it('moves a model to other targets and never leaves it without one', async () => {
    // Symptom: a model is gone from all targets for the time of a load.
    // Sequence: shares change, so that the target that has the model is to have another one.
    // Cause: it unloaded before another target served the model.
    const bed = new OrderBed(['t1', 't2', 't3', 't4', 't5', 't6']);
    bed.accept([
      { name: 'a', version: '1', share: 0.9 },
      { name: 'b', version: '1', share: 0.1 },
    ]);
    await bed.settle();
    bed.watched = ['a', 'b'];
    bed.accept([
      { name: 'a', version: '1', share: 0.1 },
      { name: 'b', version: '1', share: 0.9 },
    ]);
    await bed.settle();
    expect(versions(bed)).toEqual(['a@1', 'b@1', 'b@1', 'b@1', 'b@1', 'b@1']);
    expect(bed.gaps).toEqual([]);
  });

  it('never leaves a model without a target, whatever documents follow each other', async () => {
    // Symptom: for some moments nobody serves a model.
    // Sequence: shares and versions change while earlier changes are under way; targets act side by side.
    // Cause: one relied on another that was about to unload.
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
        const bed = new OrderBed(Array.from({ length: count }, (_, index) => `t${index}`));
        let turn = 0;
        for (const target of bed.targets) {
          target.gate = async () => {
            const ticks = pauses[turn++ % pauses.length] ?? 0;
            for (let tick = 0; tick < ticks; tick++) await new Promise((resolve) => setImmediate(resolve));
          };
        }
        const accept = ({ share, a, b }: { share: number; a: string; b: string }): void => {
          const models = [
            { name: 'a', version: a, share },
            { name: 'b', version: b, share: 1 - share },
          ];
          bed.accept(models, { concurrentLoads: 8 });
        };
        accept({ share: 0.5, a: '1', b: '1' });
        await bed.settle();
        bed.watched = ['a', 'b'];
        for (const next of changes) {
          accept(next);
          for (let round = 0; round < next.rounds; round++) {
            await Promise.all(bed.targets.map((target) => target.executor().round(signal)));
          }
        }
        await bed.settle();
        expect(bed.gaps).toEqual([]);
      },
    );
    await fc.assert(scenario, { numRuns: 150 });
  });

  it('loads from the weight store no more at once than the document says', async () => {
    const bed = new OrderBed(['t1', 't2', 't3', 't4', 't5']);
    let [loading, most] = [0, 0];
    for (const target of bed.targets) {
      target.gate = async () => {
        loading++;
        most = Math.max(most, loading);
        await new Promise((resolve) => setImmediate(resolve));
        loading--;
      };
    }
    bed.accept([{ name: 'a', version: '1' }], { concurrentLoads: 2 });
    await bed.settle();
    expect(versions(bed)).toEqual(Array.from({ length: 5 }, () => 'a@1'));
    expect(most).toBe(2);
  });

  it('voids an order that waited for its turn while the document changed', async () => {
    // Symptom: a target loads weights that were withdrawn minutes ago.
    // Sequence: an order waits for a turn; meanwhile a newer document is accepted; the turn comes.
    // Cause: the order was carried out as it was when it began to wait.
    const bed = new OrderBed(['t1']);
    bed.accept([{ name: 'a', version: '1' }]);
    const take = bed.turns.take.bind(bed.turns);
    bed.turns.take = (request) => {
      bed.accept([{ name: 'a', version: '2' }]);
      return take(request);
    };
    expect(await bed.target('t1').executor().round(signal)).toBe('not-now');
    expect(bed.target('t1').orders).toEqual([]);
    await bed.settle();
    expect(versions(bed)).toEqual(['a@2']);
  });

  it('gives no orders beside an older process of the same target', async () => {
    // Symptom: two executors give one target contrary orders, in turn and for good.
    // Sequence: an agent is paused in the middle of an order and replaced; then it goes on.
    // Cause: nothing tied the right to give orders to one process at a time.
    const clock = new ManualClock();
    const bed = new OrderBed(['t1'], clock);
    const target = bed.target('t1');
    bed.accept([{ name: 'a', version: '1' }]);
    let goOn: () => void = () => undefined;
    target.gate = () =>
      new Promise((resolve) => {
        goOn = resolve;
      });
    const old = target.executor(1n).round(signal);
    await clock.advance(0);
    target.gate = () => Promise.resolve();
    expect(await target.executor(2n).round(signal)).toBe('not-now');
    expect(target.orders).toHaveLength(1);
    goOn();
    await old;
    bed.accept([{ name: 'a', version: '2' }]);
    expect(await target.executor(2n).round(signal)).toBe('done');
    expect(target.orders.map(({ fence }) => fence)).toEqual(
      [...target.orders.map(({ fence }) => fence)].sort(),
    );
  });

  it.each([true, false])(
    'comes out right when an old order arrives late (fences checked: %s)',
    async (checks) => {
      // Symptom: a target keeps the weights of an order that had long been overtaken.
      // Sequence: an order of a dead agent reaches the engine after those of its successor.
      // Cause: the engine took it, and nobody looked at what it has again.
      const bed = new OrderBed(['t1']);
      const target = bed.target('t1');
      target.checksFence = checks;
      bed.accept([{ name: 'a', version: '2' }]);
      await bed.turns.take({ name: 'other', holder: 'x', incarnation: 1n, limit: 1, ttlMs: 1_000 });
      await bed.settle();
      await target.carryOut({ type: 'load-model', model: 'a', version: '1' }, 1n);
      expect(versions(bed)).toEqual([checks ? 'a@2' : 'a@1']);
      await bed.settle();
      expect(versions(bed)).toEqual(['a@2']);
    },
  );
});

describe('a turn', () => {
  const wish = { name: 'n', holder: 'h', incarnation: 1n, limit: 1 };

  it('is renewed while it is held', async () => {
    const clock = new ManualClock();
    const bed = new OrderBed([], clock);
    const turn = await Turn.take(bed.turns, clock, wish);
    for (let step = 0; step < 30; step++) await clock.advance(1_000);
    expect(turn?.held).toBe(true);
    expect(await Turn.take(bed.turns, clock, { ...wish, holder: 'other' })).toBeUndefined();
    await turn?.release();
    expect(turn?.held).toBe(false);
    expect(await Turn.take(bed.turns, clock, { ...wish, holder: 'other' })).toBeDefined();
  });

  it('is known to be lost before others can have it', async () => {
    // Symptom: two holders of one turn act at the same time.
    // Sequence: control cannot be reached any more; the turn runs out there.
    // Cause: the holder went on until it was told.
    const clock = new ManualClock();
    const bed = new OrderBed([], clock);
    const turn = await Turn.take(bed.turns, clock, wish);
    const take = bed.turns.take.bind(bed.turns);
    bed.turns.take = (request) => (request.holder === 'h' ? new Promise(() => undefined) : take(request));
    let lostAt: number | undefined;
    for (let at = 0; at < TURN_TTL_MS + 2_000; at += 100) {
      await clock.advance(100);
      if (turn?.held === false) lostAt ??= clock.monotonic();
      const other = await Turn.take(bed.turns, clock, { ...wish, holder: 'other' });
      if (other === undefined) continue;
      expect(lostAt).toBeDefined();
      expect(clock.monotonic()).toBeGreaterThan(lostAt ?? Number.POSITIVE_INFINITY);
      return;
    }
    throw new Error('the turn never came free');
  });
});

describe('SettledNames', () => {
  it('follows a change only once it has lasted', async () => {
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
