import { describe, expect, it } from 'vitest';
import { controlOrder } from './controlOrder.js';

const addresses = (count: number): string[] => Array.from({ length: count }, (_, at) => `10.${at}.0.1:1`);

/** For each control instance, how many of `count` processes of a role have it first. */
function firstCounts(role: string, count: number, controls: readonly string[], entries: number): number[] {
  const chosen = Array.from({ length: count }, (_, at) =>
    controlOrder({ name: `${role}-${at}`, role }, controls, entries).at(0),
  );
  return controls.map((control) => chosen.filter((one) => one === control).length);
}

describe('the order of control instances', () => {
  it('does not depend on the order of the input, and holds each instance once', () => {
    const controls = addresses(6);
    const order = controlOrder({ name: 'e1', role: 'entry' }, controls, 70);
    expect(controlOrder({ name: 'e1', role: 'entry' }, [...controls].reverse(), 70)).toEqual(order);
    expect([...order].sort()).toEqual(controls);
  });

  it('gives a few entries one instance, and the processes beside targets another one', () => {
    // Eight entries exchange their work forty times a second, over one instance in a single hop. An instance that also takes
    // the loads and caches of targets would be late with both.
    const controls = addresses(4);
    expect(firstCounts('entry', 8, controls, 8)).toEqual([8, 0, 0, 0]);
    expect(firstCounts('agent', 5, controls, 8)).toEqual([0, 0, 0, 5]);
  });

  it.each(['entry', 'agent'])('spreads many processes over all instances: %s', (role) => {
    // 70 entries with 54 targets and 6 control instances, each of which has a part of a core.
    const most = Math.max(...firstCounts(role, 600, addresses(6), 70));
    expect(most).toBeLessThanOrEqual(150);
  });

  // Guards against all entries loading the same instance during the election that follows a restart of all processes.
  it('spreads entries over all instances while their number is unknown', () => {
    const most = Math.max(...firstCounts('entry', 600, addresses(6), 0));
    expect(most).toBeLessThanOrEqual(150);
  });

  it('keeps the order of the other instances when one is lost', () => {
    const controls = addresses(6);
    for (let at = 0; at < 50; at += 1) {
      const order = controlOrder({ name: `e${at}`, role: 'entry' }, controls, 70);
      const left = controls.filter((one) => one !== order[0]);
      expect(controlOrder({ name: `e${at}`, role: 'entry' }, left, 70)).toEqual(order.slice(1));
    }
  });

  it('is empty without control instances', () => {
    expect(controlOrder({ name: 'e1', role: 'entry' }, [], 1)).toEqual([]);
  });
});
