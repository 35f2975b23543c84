import { describe, expect, it } from 'vitest';
import { forwardedHeaders } from './request.js';

describe('headers that are forwarded', () => {
  // Guards against fields that are lost, or get text that nobody sent, as their names are those of members of any object.
  it('are all there, whatever their names', () => {
    const names = ['__proto__', 'constructor', 'x-own'];
    const forwarded = forwardedHeaders(names.map((name) => ({ name, value: 'v' })));
    expect(Object.entries(forwarded)).toEqual(names.map((name) => [name, 'v']));
  });

  it('are joined into a list where a name comes more than once', () => {
    const fields = ['a', 'b'].map((value) => ({ name: 'X-Own', value }));
    expect(forwardedHeaders(fields)).toEqual({ 'x-own': 'a, b' });
  });
});
