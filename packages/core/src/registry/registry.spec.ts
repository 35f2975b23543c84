import { describe, expect, it } from 'vitest';
import { Registry } from './registry.js';

describe('Registry', () => {
  it('lists the registered names when a feature is missing', () => {
    const registry = new Registry<number>('policy').add('a', 1).add('b', 2);
    expect(registry.find('c')).toBeUndefined();
    expect(() => registry.get('c')).toThrow('no policy "c"; there are: a, b');
  });

  it('rejects a duplicate name', () => {
    const registry = new Registry<number>('policy').add('a', 1);
    expect(() => registry.add('a', 2)).toThrow('registered twice');
  });
});
