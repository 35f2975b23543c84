import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import { FairQueue } from './fairQueue.js';
import type { QueueItem } from './fairQueue.js';

interface Request extends QueueItem {
  readonly id: number;
}

const request = (id: number, customer: string, more: Partial<Request> = {}): Request => ({
  id,
  customer,
  priority: 50,
  share: 1,
  cost: 100,
  ...more,
});

function drain(queue: FairQueue<Request>): Request[] {
  const order: Request[] = [];
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) order.push(next);
  return order;
}

describe('FairQueue', () => {
  it('delays only the customer that sends a burst', () => {
    // A FIFO queue would serve all 50 requests of one customer before the 1 request of another.
    const queue = new FairQueue<Request>();
    for (let id = 0; id < 50; id += 1) queue.push(request(id, 'festival'), 100);
    queue.push(request(99, 'house-a'), 100);
    expect(drain(queue).findIndex(({ id }) => id === 99)).toBeLessThanOrEqual(1);
  });

  it('shares by weight', () => {
    const queue = new FairQueue<Request>();
    for (let id = 0; id < 40; id += 1) {
      queue.push(request(id, 'large', { share: 3 }), 100);
      queue.push(request(id, 'small'), 100);
    }
    const first = drain(queue).slice(0, 20);
    expect(first.filter(({ customer }) => customer === 'large')).toHaveLength(15);
  });

  it('drops the last request of the customer with the largest backlog when full, not the newest request', () => {
    const queue = new FairQueue<Request>();
    expect(queue.push(request(98, 'house-b'), 11)).toBeUndefined();
    for (let id = 0; id < 10; id += 1) expect(queue.push(request(id, 'festival'), 11)).toBeUndefined();
    expect(queue.push(request(99, 'house-a'), 11)?.id).toBe(9);
    expect(queue.push(request(10, 'festival'), 11)?.id).toBe(10);
    expect(queue.size).toBe(11);
  });

  it('drops a request of the lowest class first', () => {
    const queue = new FairQueue<Request>();
    queue.push(request(1, 'members', { priority: 20 }), 1);
    expect(queue.push(request(2, 'members', { priority: 80 }), 1)?.id).toBe(1);
    expect(queue.push(request(3, 'members', { priority: 20 }), 1)?.id).toBe(3);
  });

  it('serves each request once, by class and in the order of each customer', () => {
    const arrival = fc.record({
      customer: fc.constantFrom('a', 'b', 'c'),
      priority: fc.constantFrom(20, 50, 80),
      share: fc.constantFrom(1, 2, 5),
      cost: fc.integer({ min: 1, max: 5_000 }),
    });
    fc.assert(
      fc.property(
        fc.array(arrival, { maxLength: 60 }),
        fc.integer({ min: 0, max: 40 }),
        (arrivals, capacity) => {
          const queue = new FairQueue<Request>();
          const givenUp = arrivals.map((one, id) => queue.push({ ...one, id }, capacity)?.id);
          expect(queue.size).toBe(Math.min(arrivals.length, capacity));
          const order = drain(queue);
          const ids = [...order.map(({ id }) => id), ...givenUp.filter((id) => id !== undefined)];
          expect(ids.sort((a, b) => a - b)).toEqual(arrivals.map((_, id) => id));
          order.slice(1).forEach((next, place) => {
            expect(next.priority).toBeLessThanOrEqual(order[place]?.priority ?? 0);
          });
          for (const customer of ['a', 'b', 'c'])
            for (const priority of [20, 50, 80]) {
              const own = order.filter((one) => one.customer === customer && one.priority === priority);
              expect(own.map(({ id }) => id)).toEqual(own.map(({ id }) => id).sort((a, b) => a - b));
            }
        },
      ),
    );
  });

  it('keeps two busy customers within one request of their shares', () => {
    const costs = fc.array(fc.integer({ min: 1, max: 1_000 }), { minLength: 10, maxLength: 40 });
    fc.assert(
      fc.property(costs, costs, fc.integer({ min: 1, max: 5 }), (left, right, share) => {
        const queue = new FairQueue<Request>();
        left.forEach((cost, id) => queue.push(request(id, 'left', { cost, share }), 1_000));
        right.forEach((cost, id) => queue.push(request(id, 'right', { cost }), 1_000));
        const served = { left: 0, right: 0 };
        const waiting = { left: left.length, right: right.length };
        while (waiting.left > 0 && waiting.right > 0) {
          const next = queue.shift();
          const side = next?.customer === 'left' ? 'left' : 'right';
          served[side] += next?.cost ?? 0;
          waiting[side] -= 1;
          expect(Math.abs(served.left / share - served.right)).toBeLessThanOrEqual(1_000 / share + 1_000);
        }
      }),
    );
  });
});
