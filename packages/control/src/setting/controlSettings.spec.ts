import { expect, it } from 'vitest';
import { controlSettings } from './controlSettings.js';

it('reads replicas as names with addresses', () => {
  const { replicas } = controlSettings.parse({ replicas: 'c1=10.0.0.1:7000, c2=10.0.0.2:7000' });
  expect(replicas).toEqual([
    { name: 'c1', address: '10.0.0.1:7000' },
    { name: 'c2', address: '10.0.0.2:7000' },
  ]);
});

it.each(['', 'c1', 'c1=10.0.0.1', 'c1=10.0.0.1:1,', 'c1=10.0.0.1:1,c1=10.0.0.2:1', '=10.0.0.1:1'])(
  'refuses "%s"',
  (replicas) => {
    expect(controlSettings.safeParse({ replicas }).error?.issues[0]?.message).toContain('name=host:port');
  },
);
