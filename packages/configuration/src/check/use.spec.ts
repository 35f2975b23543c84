import { describe, expect, it } from 'vitest';
import type { Configuration } from '../schema/index.js';
import { refusalsOf, warningsOf } from './use.js';

const usable: Configuration = {
  number: 1,
  routes: [],
  services: [
    { name: 'plain', healthPath: '/health?of=it' },
    { name: 'store', storeAddress: '10.0.0.9:8781' },
  ],
  customers: [{ name: 'harbour \u2013 west', keys: ['k'], isolated: false }],
};

describe('what a configuration can be used for', () => {
  it('is all of it', () => {
    expect([refusalsOf(usable), warningsOf(usable)]).toEqual([[], []]);
  });

  // Guards against an operator who learns only from its effects that a store can't be called.
  it.each(['', '10.0.0.9', '10.0.0.9:87810', '10.0.0.9:0', 'http://10.0.0.9:80', '10.0.0.9:80\r\nx: y'])(
    'leaves out a store at %j, which is named',
    (storeAddress) => {
      const [warning, ...others] = warningsOf({ ...usable, services: [{ name: 'store', storeAddress }] });
      expect(warning).toContain('service store: the address of the store');
      expect(others).toEqual([]);
    },
  );

  it.each(['', 'health', '/he alth', '/health\r\nx: y', '/gr\u00fcn'])(
    'leaves out a health path %j, which is named',
    (healthPath) => {
      const services = [{ name: 'plain', healthPath }];
      expect(warningsOf({ ...usable, services })[0]).toContain('service plain: the health path');
    },
  );

  // Guards against customers whose requests all fail, as no header can hold their name.
  it('is nothing where the name of a customer has control characters, or the number is 0', () => {
    const customers = [{ name: 'a\r\nb', keys: ['k'], isolated: false }];
    expect(refusalsOf({ ...usable, customers })[0]).toContain('"a\\r\\nb"');
    expect(refusalsOf({ ...usable, number: 0 })[0]).toContain('the number is 0');
  });
});
