import type { stateMessage } from '@jasmineroute/protocol';
import { beforeEach, describe, expect, it } from 'vitest';
import { applyOne } from '../fixture/index.js';
import { createState } from '../role/index.js';
import type { StateParts } from '../role/index.js';

const bytes = (text: string): Uint8Array => Buffer.from(text);

describe('configuration state', () => {
  let state: StateParts;

  beforeEach(() => {
    state = createState();
  });

  const configure = (number: number, text: string): stateMessage.ConfigureOutcome => {
    const value = { number: BigInt(number), content: bytes(`content ${text}`), source: bytes(text) };
    return applyOne(state.machine, { case: 'configure', value }) as stateMessage.ConfigureOutcome;
  };

  const read = (): stateMessage.ReadConfigurationOutcome =>
    applyOne(state.machine, {
      case: 'readConfiguration',
      value: {},
    }) as stateMessage.ReadConfigurationOutcome;

  const name = (model: string, version: number): stateMessage.NameWeightsOutcome => {
    const value = { weights: { model, version: BigInt(version) } };
    return applyOne(state.machine, { case: 'nameWeights', value }) as stateMessage.NameWeightsOutcome;
  };

  it('returns the configuration as it was sent', () => {
    expect(configure(3, 'three')).toMatchObject({ number: 3n, stored: true });
    const { number, source } = read();
    expect([number, Buffer.from(source).toString()]).toEqual([3n, 'three']);
  });

  it('never returns to an older configuration, and keeps the content of its number', () => {
    // Guards against a replaced configuration that is in force again, and against two contents under one number: a late
    // older change, or the same number with other content, replaces the held configuration because it arrives last.
    configure(7, 'seven');
    expect(configure(5, 'five')).toMatchObject({ number: 7n, stored: false });
    expect(configure(7, 'other')).toMatchObject({ number: 7n, stored: false });
    expect(Buffer.from(read().source).toString()).toBe('seven');
  });

  it('keeps the highest version of each model', () => {
    expect(name('m', 2).version).toBe(2n);
    expect(name('m', 1).version).toBe(2n);
    expect(name('n', 4).version).toBe(4n);
    expect(state.configuration.weights().map(({ model, version }) => [model, version])).toEqual([
      ['m', 2n],
      ['n', 4n],
    ]);
  });

  it('reports the ages of recently replaced versions', () => {
    // Guards against requests that start on weights replaced longer ago than allowed: two newer versions are named 5 s
    // apart, a target still has the oldest, and its age is counted from the newest version.
    name('m', 2);
    state.configuration.recentWeights(1_000);
    name('m', 3);
    const reported = state.configuration.recentWeights(6_000);
    expect(reported.map(({ version, ageMs }) => [version, ageMs])).toEqual([
      [2n, 5_000],
      [3n, 0],
    ]);
    expect(state.configuration.recentWeights(60_000).map(({ version }) => version)).toEqual([3n]);
  });

  it('is restored from a snapshot', () => {
    configure(9, 'nine');
    name('m', 3);
    const other = createState();
    other.machine.restore(state.machine.snapshot());
    expect(other.configuration.held()).toEqual(state.configuration.held());
    expect(other.configuration.weights()).toEqual(state.configuration.weights());
  });
});
