import { expect, it } from 'vitest';
import { RetryBudget } from './retryBudget.js';

it('limits retries to a share of the requests however many fail', () => {
  // All of 1,000 requests fail and ask for three retries each. Without a budget the attempts per request would grow
  // with the failures until the remaining targets fail too.
  const budget = new RetryBudget({ share: 0.1, burst: 10 });
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.deposit();
    for (let attempt = 0; attempt < 3; attempt += 1) if (budget.withdraw()) retries += 1;
  }
  expect(retries).toBeLessThanOrEqual(110);
  expect(retries).toBeGreaterThanOrEqual(100);
});
