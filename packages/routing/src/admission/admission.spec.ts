import { describe, expect, it } from 'vitest';
import { ManualClock } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import type { AdmissionRules, CustomerRules } from '../limit/index.js';
import { Admission } from './admission.js';
import type { Demand, Permit } from './admission.js';

interface Bed {
  readonly clock: ManualClock;
  readonly admission: Admission;
  rules: AdmissionRules;
}

function bed(customers: Record<string, CustomerRules> = {}, more: Partial<AdmissionRules> = {}): Bed {
  const clock = new ManualClock();
  const rules = {
    customers: new Map(Object.entries(customers)),
    queue: 8,
    capacity: 8,
    liveEntries: 1,
    ...more,
  };
  const made: Bed = { clock, rules, admission: new Admission({ clock, rules: () => made.rules }) };
  return made;
}

const demand = (customer: string, more: Partial<Demand> = {}): Demand => ({
  customer,
  priority: 50,
  deadlineMs: 10_000,
  promptTokens: 1_000,
  ...more,
});

const kindOf = (result: Result<Permit, Fault>): string => (result.isOk() ? 'ok' : result.error.kind);

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Takes all places there are. */
async function fill(admission: Admission, places: number): Promise<Permit[]> {
  const permits = await Promise.all(Array.from({ length: places }, () => admission.admit(demand('filler'))));
  return permits.map((permit) => permit._unsafeUnwrap());
}

describe('Admission', () => {
  it('enforces its part of a rate, and tells when to come back', async () => {
    const { clock, admission } = bed(
      { members: { share: 1, requestsPerSecond: 6, burst: 6 } },
      { liveEntries: 3 },
    );
    const kinds: string[] = [];
    for (let turn = 0; turn < 3; turn += 1) kinds.push(kindOf(await admission.admit(demand('members'))));
    expect(kinds).toEqual(['ok', 'ok', 'rate-limited']);
    const refused = (await admission.admit(demand('members')))._unsafeUnwrapErr();
    expect([refused.ran, refused.retryAfterMs]).toEqual(['not-run', 500]);
    await clock.advance(500);
    expect(kindOf(await admission.admit(demand('members')))).toBe('ok');
  });

  it('enforces its part of a concurrency, and frees it once for each release', async () => {
    const { admission } = bed({ members: { share: 1, concurrency: 5 } }, { liveEntries: 2 });
    const first = (await admission.admit(demand('members')))._unsafeUnwrap();
    await admission.admit(demand('members'));
    expect(kindOf(await admission.admit(demand('members')))).toBe('concurrency-limited');
    first.release();
    first.release();
    expect(kindOf(await admission.admit(demand('members')))).toBe('ok');
    expect(kindOf(await admission.admit(demand('members')))).toBe('concurrency-limited');
  });

  it('stays within a limit over all entries, whatever their number', async () => {
    // Symptom: a customer with a limit of 10 has 12 requests running. Sequence: it sends to four entries at
    // once. Cause: each entry rounds its part of the limit up.
    for (const entries of [1, 2, 3, 4, 7, 10]) {
      let admitted = 0;
      for (let entry = 0; entry < entries; entry += 1) {
        const { admission } = bed(
          { members: { share: 1, concurrency: 10 } },
          { liveEntries: entries, capacity: 800 },
        );
        const answers = await Promise.all(
          Array.from({ length: 12 }, () => admission.admit(demand('members'))),
        );
        admitted += answers.filter((answer) => answer.isOk()).length;
      }
      expect(admitted).toBeLessThanOrEqual(10);
    }
  });

  it('queues what the targets have no place for, higher priorities first', async () => {
    const { admission } = bed();
    const permits = await fill(admission, 10);
    const order: string[] = [];
    for (const [customer, priority] of [
      ['batch', 20],
      ['normal', 50],
      ['urgent', 80],
    ] as const) {
      void admission.admit(demand(customer, { priority })).then(() => order.push(customer));
    }
    await settle();
    expect([admission.waiting, order]).toEqual([3, []]);
    for (const permit of permits) permit.release();
    await settle();
    expect(order).toEqual(['urgent', 'normal', 'batch']);
  });

  it('refuses one request, truly not run, for each that its full queue takes', async () => {
    const { admission } = bed({}, { queue: 2 });
    await fill(admission, 10);
    const answers = Array.from({ length: 3 }, () => admission.admit(demand('festival')));
    const refused = (await answers[2])?._unsafeUnwrapErr();
    expect([refused?.kind, refused?.ran, admission.waiting]).toEqual(['overloaded', 'not-run', 2]);
  });

  it('refuses at the deadline what has waited until then', async () => {
    const { clock, admission } = bed();
    await fill(admission, 10);
    const answer = admission.admit(demand('members', { deadlineMs: 300 }));
    await clock.advance(300);
    const refused = (await answer)._unsafeUnwrapErr();
    expect([refused.kind, refused.ran, admission.waiting]).toEqual(['deadline-unmeetable', 'not-run', 0]);
  });

  it('refuses at once what could not go out before its deadline', async () => {
    // Symptom: under overload every request waits for its whole deadline, and then fails.
    // Sequence: requests come faster than they end; each is queued. Cause: the queue's speed is not looked at.
    const { clock, admission } = bed({}, { queue: 100 });
    const permits = await fill(admission, 10);
    for (let waiting = 0; waiting < 20; waiting += 1) void admission.admit(demand('festival'));
    for (const permit of permits.slice(0, 5)) {
      await clock.advance(100);
      permit.release();
    }
    const wait = admission.expectedWaitMs(50);
    expect(wait).toBeGreaterThan(1_000);
    const refused = (await admission.admit(demand('members', { deadlineMs: 1_000 })))._unsafeUnwrapErr();
    expect([refused.kind, refused.retryAfterMs]).toEqual(['deadline-unmeetable', Math.ceil(wait - 1_000)]);
    void admission.admit(demand('members', { deadlineMs: 1_000, priority: 80 }));
    expect(admission.waiting).toBe(16);
  });

  it('forgets a request whose caller goes away, and gives its rate back', async () => {
    const { admission } = bed({ members: { share: 1, requestsPerSecond: 1, burst: 1 } });
    await fill(admission, 10);
    const gone = new AbortController();
    const answer = admission.admit(demand('members', { signal: gone.signal }));
    gone.abort();
    expect(kindOf(await answer)).toBe('cancelled');
    expect(admission.waiting).toBe(0);
    void admission.admit(demand('members'));
    expect(admission.waiting).toBe(1);
  });

  it('lets more out while targets have room, up to all their places, and takes it back', async () => {
    // Symptom: targets idle while requests wait. Sequence: the balancer sends all callers to one of four
    // entries. Cause: each entry keeps to a fourth of the places.
    const made = bed({}, { liveEntries: 4, capacity: 16, queue: 100 });
    const load = {
      running: 1,
      queued: 0,
      queuedTokens: 0,
      aheadTokens: 0,
      prefillRate: 0,
      tokenMs: 0,
      capacity: 4,
    };
    for (let sent = 0; sent < 40; sent += 1) void made.admission.admit(demand('members'));
    await settle();
    expect(made.admission.running).toBe(5);
    for (let told = 0; told < 50; told += 1) made.admission.observe(load);
    expect(made.admission.running).toBe(20);
  });

  it('takes up changed rules at the next request', async () => {
    const made = bed({}, { capacity: 1 });
    await fill(made.admission, 2);
    const answer = made.admission.admit(demand('members'));
    made.rules = { ...made.rules, capacity: 8 };
    made.admission.refresh();
    expect(kindOf(await answer)).toBe('ok');
  });
});
