import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { KeptParts } from './keptParts.js';
import { partKey } from './partKey.js';

const STORE = '10.0.0.9:80';
const keyOf = (id: number): number => partKey(STORE, { salt: 's', model: 'm', part: String(id) });

describe('the parts that stores keep', () => {
  it('reach a follower whole, whenever it was told last', () => {
    // Symptom: a part is read again and again, or copied to a store that has it.
    // Sequence: a follower hears some changes, misses others, and a store restarts meanwhile.
    // Cause: changes told from a wrong place.
    const step = fc.oneof(
      fc.record({ id: fc.integer({ min: 0, max: 9 }), isKept: fc.boolean() }),
      fc.constant('tell' as const),
      fc.constant('restart' as const),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const kept = new KeptParts();
        let place = 0;
        let follower = new Set<number>();
        let expected = new Set<number>();
        const tell = (): void => {
          const { whole, added, dropped } = kept.since(place);
          if (whole) follower = new Set();
          for (const key of dropped) follower.delete(key);
          for (const key of added) follower.add(key);
          place = kept.place();
        };
        for (const one of [...steps, 'tell' as const]) {
          if (one === 'tell') {
            tell();
            expect([...follower].sort()).toEqual([...expected].sort());
          } else if (one === 'restart') {
            kept.forget(STORE);
            expected = new Set();
          } else {
            const key = keyOf(one.id);
            kept.note(STORE, key, one.isKept);
            if (one.isKept) expected.add(key);
            else expected.delete(key);
          }
        }
      }),
    );
  });

  it('are told whole to a follower that missed more changes than are remembered', () => {
    const kept = new KeptParts();
    kept.note(STORE, keyOf(1), true);
    const place = kept.place();
    for (let id = 2; id < 20_000; id += 1) kept.note(STORE, keyOf(id), true);
    const told = kept.since(place);
    expect(told.whole).toBe(true);
    expect(told.added.length).toBe(19_999);
  });

  it('are taken over from another process, changes or all of them', () => {
    const kept = new KeptParts();
    const whole = (added: number[]) => Object.assign(kept.since(0), { whole: true, added, dropped: [] });
    kept.apply(STORE, whole([1, 2]));
    kept.apply('other', whole([7]));
    kept.apply(STORE, Object.assign(kept.since(kept.place()), { added: [3], dropped: [1] }));
    expect([...kept.since(0).added].sort()).toEqual([2, 3, 7]);
    kept.apply(STORE, whole([3, 4]));
    expect([...kept.since(0).added].sort()).toEqual([3, 4, 7]);
  });
});
