import { ManualClock } from '@jasmineroute/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { MemoryBudget } from './memoryBudget.js';
import { Uploads } from './uploads.js';
import type { Upload } from './uploads.js';

const LIMIT_BYTES = 1_000;

describe('Uploads', () => {
  let clock: ManualClock;
  let budget: MemoryBudget;
  let uploads: Uploads;

  /** A body of which some bytes are held. */
  class Body implements Upload {
    bytes = 0;
    activeAt = clock.monotonic();
    hasGivenWay = false;

    constructor() {
      uploads.add(this);
    }

    hold(bytes: number): boolean {
      const isReserved = uploads.reserve(this, bytes);
      if (isReserved) this.bytes += bytes;
      return isReserved;
    }

    readonly giveWay = (): void => {
      this.hasGivenWay = true;
      uploads.remove(this);
      budget.release(this.bytes);
    };
  }

  beforeEach(() => {
    clock = new ManualClock();
    budget = new MemoryBudget(LIMIT_BYTES);
    uploads = new Uploads(budget, clock);
  });

  // Guards against callers that hold all memory, so that the next one is refused.
  it('lets the largest body give way to a smaller one', () => {
    const [small, large] = [new Body(), new Body()];
    small.hold(300);
    large.hold(700);
    const next = new Body();
    expect(next.hold(200)).toBe(true);
    expect([small.hasGivenWay, large.hasGivenWay]).toEqual([false, true]);
    expect(budget.bytes).toBe(500);
  });

  it('lets no body give way to a larger one while all go on', () => {
    const small = new Body();
    small.hold(500);
    const next = new Body();
    expect(next.hold(600)).toBe(false);
    expect(small.hasGivenWay).toBe(false);
  });

  // Guards against a caller that stops short of the end of its body, and keeps out others as long as it may take.
  it('lets a body that has come to a halt give way first, whatever its size', async () => {
    const [halted, large] = [new Body(), new Body()];
    halted.hold(100);
    await clock.advance(1_500);
    large.activeAt = clock.monotonic();
    large.hold(900);
    const next = new Body();
    expect(next.hold(100)).toBe(true);
    expect([halted.hasGivenWay, large.hasGivenWay]).toEqual([true, false]);
  });
});

describe('MemoryBudget', () => {
  it('counts a part in the whole, and bounds both', () => {
    const whole = new MemoryBudget(1_000);
    const part = whole.part(0.25);
    expect(part.tryReserve(251)).toBe(false);
    expect(part.tryReserve(250)).toBe(true);
    expect(whole.tryReserve(751)).toBe(false);
    expect(whole.tryReserve(750)).toBe(true);
    part.release(250);
    expect([part.bytes, whole.bytes]).toEqual([0, 750]);
    expect(part.tryReserve(250)).toBe(true);
  });

  // Guards against bytes that stay reserved in a part when the whole has none left.
  it('reserves nothing in a part where the whole is full', () => {
    const whole = new MemoryBudget(1_000);
    const part = whole.part(0.5);
    whole.tryReserve(900);
    expect(part.tryReserve(200)).toBe(false);
    expect([part.bytes, whole.bytes]).toEqual([0, 900]);
  });
});
