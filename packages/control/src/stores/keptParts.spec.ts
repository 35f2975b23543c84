import { partKey } from '@jasmineroute/protocol';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { KeptParts } from './keptParts.js';

const STORE = '10.0.0.9:80';
const part = (id: number) => ({ salt: 's', model: 'm', part: String(id) });

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
            kept.note(STORE, part(one.id), one.isKept);
            const key = partKey(STORE, part(one.id));
            if (one.isKept) expected.add(key);
            else expected.delete(key);
          }
        }
      }),
    );
  });

  it('are told whole to a follower that missed more changes than are remembered', () => {
    const kept = new KeptParts();
    kept.note(STORE, part(1), true);
    const place = kept.place();
    for (let id = 2; id < 20_000; id += 1) kept.note(STORE, part(id), true);
    const told = kept.since(place);
    expect(told.whole).toBe(true);
    expect(told.added.length).toBe(19_999);
  });
});
