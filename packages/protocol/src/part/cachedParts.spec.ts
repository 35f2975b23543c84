import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CachedParts } from './cachedParts.js';
import { partKey } from './partKey.js';

const STORE = '10.0.0.9:80';
const keyOf = (id: number): number => partKey(STORE, { salt: 's', model: 'm', part: String(id) });

describe('cached parts', () => {
  it('are complete at a follower after any sequence of updates', () => {
    // Guards against parts that are read again and again, or copied to a store that has them: a follower receives changes from
    // a wrong position, after it missed some and a store restarted meanwhile.
    const step = fc.oneof(
      fc.record({ id: fc.integer({ min: 0, max: 9 }), isKept: fc.boolean() }),
      fc.constant('update' as const),
      fc.constant('restart' as const),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const kept = new CachedParts();
        let position = 0;
        let follower = new Set<number>();
        let expected = new Set<number>();
        const sendUpdate = (): void => {
          const { whole, added, dropped } = kept.changesSince(position);
          if (whole) follower = new Set();
          for (const key of dropped) follower.delete(key);
          for (const key of added) follower.add(key);
          position = kept.position();
        };
        for (const one of [...steps, 'update' as const]) {
          if (one === 'update') {
            sendUpdate();
            expect([...follower].sort()).toEqual([...expected].sort());
          } else if (one === 'restart') {
            kept.removeAll(STORE);
            expected = new Set();
          } else {
            const key = keyOf(one.id);
            kept.recordChange(STORE, key, one.isKept);
            if (one.isKept) expected.add(key);
            else expected.delete(key);
          }
        }
      }),
    );
  });

  it('are sent in full to a follower that missed more changes than are retained', () => {
    const kept = new CachedParts();
    kept.recordChange(STORE, keyOf(1), true);
    const position = kept.position();
    for (let id = 2; id < 20_000; id += 1) kept.recordChange(STORE, keyOf(id), true);
    const changes = kept.changesSince(position);
    expect(changes.whole).toBe(true);
    expect(changes.added.length).toBe(19_999);
  });

  it('are applied from reports of another process, changes or all of them', () => {
    const kept = new CachedParts();
    const full = (added: number[]) =>
      Object.assign(kept.changesSince(0), { whole: true, added, dropped: [] });
    kept.applyChanges(STORE, full([1, 2]));
    kept.applyChanges('other', full([7]));
    kept.applyChanges(STORE, Object.assign(kept.changesSince(kept.position()), { added: [3], dropped: [1] }));
    expect([...kept.changesSince(0).added].sort()).toEqual([2, 3, 7]);
    kept.applyChanges(STORE, full([3, 4]));
    expect([...kept.changesSince(0).added].sort()).toEqual([3, 4, 7]);
  });
});
