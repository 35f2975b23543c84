import { describe, expect, it } from 'vitest';
import { controlOrder } from './controlOrder.js';

const addresses = (count: number): string[] => Array.from({ length: count }, (_, at) => `10.${at}.0.1:1`);

/** How many of `count` processes of a role have each control instance first. */
function firsts(role: string, count: number, controls: readonly string[], entries: number): number[] {
  const chosen = Array.from({ length: count }, (_, at) =>
    controlOrder({ name: `${role}-${at}`, role }, controls, entries).at(0),
  );
  return controls.map((control) => chosen.filter((one) => one === control).length);
}

describe('the order of control instances', () => {
  it('is the same wherever they were learnt, and names each once', () => {
    const controls = addresses(6);
    const order = controlOrder({ name: 'e1', role: 'entry' }, controls, 70);
    expect(controlOrder({ name: 'e1', role: 'entry' }, [...controls].reverse(), 70)).toEqual(order);
    expect([...order].sort()).toEqual(controls);
  });

  it('has few entries share one instance, and the processes beside targets another one', () => {
    // Pattern: eight entries tell each other their work forty times a second. Over one instance each hears it in one step;
    // one that hears loads and caches of targets besides is late with both.
    const controls = addresses(4);
    expect(firsts('entry', 8, controls, 8)).toEqual([8, 0, 0, 0]);
    expect(firsts('agent', 5, controls, 8)).toEqual([0, 0, 0, 5]);
  });

  it.each(['entry', 'agent'])('spreads many over all instances: %s', (role) => {
    // Pattern: 70 entries before 54 targets and 6 control instances, each of which has a part of a core.
    const most = Math.max(...firsts(role, 600, addresses(6), 70));
    expect(most).toBeLessThanOrEqual(150);
  });

  // Guards against all entries asking one instance for everything after a restart of all, while it is being elected.
  it('spreads entries over all instances while nobody knows how many there are', () => {
    const most = Math.max(...firsts('entry', 600, addresses(6), 0));
    expect(most).toBeLessThanOrEqual(150);
  });

  it('moves no other process when an instance is lost', () => {
    const controls = addresses(6);
    for (let at = 0; at < 50; at += 1) {
      const order = controlOrder({ name: `e${at}`, role: 'entry' }, controls, 70);
      const left = controls.filter((one) => one !== order[0]);
      expect(controlOrder({ name: `e${at}`, role: 'entry' }, left, 70)).toEqual(order.slice(1));
    }
  });

  it('is empty where there is none', () => {
    expect(controlOrder({ name: 'e1', role: 'entry' }, [], 1)).toEqual([]);
  });
});
