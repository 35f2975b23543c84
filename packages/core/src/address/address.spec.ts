import { describe, expect, it } from 'vitest';
import { isHostPort } from './address.js';

describe('host:port', () => {
  it.each(['10.0.0.1:80', 'store-1.example:65535', 'a_b:1', '[::1]:8080'])('is %s', (text) => {
    expect(isHostPort(text)).toBe(true);
  });

  it.each([
    '',
    ':80',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '127.0.0.1:87810',
    '10.0.0.1:-1',
    '999.1.1.1:80',
    '1.2.3.4.5:80',
    'a b:80',
    'a/b:80',
    'user@a:80',
    'http://a:80',
    '::1:80',
    '[::g]:80',
    '10.0.0.1:80\n',
  ])('is not %j', (text) => {
    expect(isHostPort(text)).toBe(false);
  });
});
