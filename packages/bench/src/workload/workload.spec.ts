import { describe, expect, it } from 'vitest';
import { shapes } from '../deployment/index.js';
import { defaultWorkload, planWorkload } from './workload.js';

const options = { ...defaultWorkload, rate: 50, durationMs: 20_000 };

const hottest = (plan: ReturnType<typeof planWorkload>): string => {
  const counts = new Map<string, number>();
  for (const { messages } of plan) {
    const prefix = (messages[1]?.content ?? '').slice(0, 64);
    counts.set(prefix, (counts.get(prefix) ?? 0) + 1);
  }
  return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0] ?? '';
};

describe('planWorkload', () => {
  it('draws the same plan from the same seed and another from another', () => {
    const plan = planWorkload(shapes.trust, options);
    expect(planWorkload(shapes.trust, options)).toEqual(plan);
    expect(planWorkload(shapes.trust, { ...options, seed: 2 })).not.toEqual(plan);
  });

  it('keeps to the rate, in order, with unique ids', () => {
    const plan = planWorkload(shapes.trust, options);
    expect(plan.length).toBeGreaterThan(850);
    expect(plan.length).toBeLessThan(1_150);
    expect(new Set(plan.map(({ id }) => id)).size).toBe(plan.length);
    expect(plan.every((one, index) => index === 0 || one.atMs >= (plan[index - 1]?.atMs ?? 0))).toBe(true);
  });

  it('shifts the hot prefixes at a time', () => {
    const plan = planWorkload(shapes.trust, { ...options, durationMs: 60_000, shiftsAtMs: [30_000] });
    const before = hottest(plan.filter(({ atMs }) => atMs < 30_000));
    const after = hottest(plan.filter(({ atMs }) => atMs >= 30_000));
    expect(after).not.toBe(before);
  });
});
