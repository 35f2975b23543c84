import type { Model } from '@jasmineroute/document';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { assign } from './assignment.js';

const model = (name: string, share: number): Model => ({ name, share, version: '1', adapters: [] });

const models = fc
  .uniqueArray(
    fc.record({ name: fc.string({ minLength: 1 }), share: fc.double({ min: 0.01, max: 1, noNaN: true }) }),
    {
      selector: ({ name }) => name,
      minLength: 1,
      maxLength: 6,
    },
  )
  .map((all) => all.map(({ name, share }) => model(name, share)));

const targets = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 40 });

describe('assign', () => {
  it('gives every model a target and every target a model', () => {
    fc.assert(
      fc.property(models, targets, (someModels, someTargets) => {
        const assigned = assign(someModels, someTargets);
        const held = [...assigned.values()].flat();
        expect(new Set(held.map(({ name }) => name)).size).toBe(someModels.length);
        for (const list of assigned.values()) expect(list.length).toBeGreaterThan(0);
        expect(held).toHaveLength(Math.max(someModels.length, someTargets.length));
      }),
    );
  });

  it('follows the shares', () => {
    const names = Array.from({ length: 100 }, (_, index) => `t${index}`);
    const assigned = [...assign([model('a', 0.7), model('b', 0.2), model('c', 0.1)], names).values()].flat();
    const count = (name: string): number => assigned.filter((one) => one.name === name).length;
    expect([count('a'), count('b'), count('c')]).toEqual([70, 20, 10]);
  });

  it('moves few targets when one goes', () => {
    const names = Array.from({ length: 60 }, (_, index) => `t${index}`);
    const three = [model('a', 1), model('b', 1), model('c', 1)];
    const before = assign(three, names);
    const after = assign(three, names.slice(1));
    const moved = names.slice(1).filter((name) => before.get(name)?.[0]?.name !== after.get(name)?.[0]?.name);
    expect(moved.length).toBeLessThanOrEqual(6);
  });
});
