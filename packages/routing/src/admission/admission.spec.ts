import { describe, expect, it } from 'vitest';
import { ManualClock } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import type { AdmissionRules, CustomerRules } from '../limit/index.js';
import { Admission } from './admission.js';
import type { AdmissionRequest, Permit } from './admission.js';

interface TestSetup {
  readonly clock: ManualClock;
  readonly admission: Admission;
  rules: AdmissionRules;
}

function createSetup(
  customers: Record<string, CustomerRules> = {},
  more: Partial<AdmissionRules> = {},
): TestSetup {
  const clock = new ManualClock();
  const rules = {
    customers: new Map(Object.entries(customers)),
    queue: 8,
    capacity: 8,
    liveEntries: 1,
    ...more,
  };
  const made: TestSetup = { clock, rules, admission: new Admission({ clock, rules: () => made.rules }) };
  return made;
}

const requestOf = (customer: string, more: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
  customer,
  priority: 50,
  deadlineMs: 10_000,
  promptTokens: 1_000,
  ...more,
});

const kindOf = (result: Result<Permit, Fault>): string => (result.isOk() ? 'ok' : result.error.kind);

const flush = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Takes all permits of the window. */
async function fillTargets(admission: Admission, places: number): Promise<Permit[]> {
  const permits = await Promise.all(
    Array.from({ length: places }, () => admission.admit(requestOf('filler'))),
  );
  return permits.map((permit) => permit._unsafeUnwrap());
}

describe('Admission', () => {
  it('enforces its share of a rate limit, and returns a retry delay', async () => {
    const { clock, admission } = createSetup(
      { members: { share: 1, requestsPerSecond: 6, burst: 6 } },
      { liveEntries: 3 },
    );
    const kinds: string[] = [];
    for (let turn = 0; turn < 3; turn += 1) kinds.push(kindOf(await admission.admit(requestOf('members'))));
    expect(kinds).toEqual(['ok', 'ok', 'rate-limited']);
    const refused = (await admission.admit(requestOf('members')))._unsafeUnwrapErr();
    expect([refused.ran, refused.retryAfterMs]).toEqual(['not-run', 500]);
    await clock.advance(500);
    expect(kindOf(await admission.admit(requestOf('members')))).toBe('ok');
  });

  it('enforces its share of a concurrency limit, and ignores a repeated release', async () => {
    const { admission } = createSetup({ members: { share: 1, concurrency: 5 } }, { liveEntries: 2 });
    const first = (await admission.admit(requestOf('members')))._unsafeUnwrap();
    await admission.admit(requestOf('members'));
    expect(kindOf(await admission.admit(requestOf('members')))).toBe('concurrency-limited');
    first.release();
    first.release();
    expect(kindOf(await admission.admit(requestOf('members')))).toBe('ok');
    expect(kindOf(await admission.admit(requestOf('members')))).toBe('concurrency-limited');
  });

  it('stays within a limit for any number of entries', async () => {
    // If each entry rounded its share of the limit up, a customer with a limit of 10 could have 12 requests running at
    // four entries.
    for (const entries of [1, 2, 3, 4, 7, 10]) {
      let admitted = 0;
      for (let entry = 0; entry < entries; entry += 1) {
        const { admission } = createSetup(
          { members: { share: 1, concurrency: 10 } },
          { liveEntries: entries, capacity: 800 },
        );
        const answers = await Promise.all(
          Array.from({ length: 12 }, () => admission.admit(requestOf('members'))),
        );
        admitted += answers.filter((answer) => answer.isOk()).length;
      }
      expect(admitted).toBeLessThanOrEqual(10);
    }
  });

  it('queues requests beyond the capacity of the targets, higher priorities first', async () => {
    const { admission } = createSetup();
    const permits = await fillTargets(admission, 10);
    const order: string[] = [];
    for (const [customer, priority] of [
      ['batch', 20],
      ['normal', 50],
      ['urgent', 80],
    ] as const) {
      void admission.admit(requestOf(customer, { priority })).then(() => order.push(customer));
    }
    await flush();
    expect([admission.waiting, order]).toEqual([3, []]);
    for (const permit of permits) permit.release();
    await flush();
    expect(order).toEqual(['urgent', 'normal', 'batch']);
  });

  it('refuses a request as not run when the queue is full', async () => {
    const { admission } = createSetup({}, { queue: 2 });
    await fillTargets(admission, 10);
    const answers = Array.from({ length: 3 }, () => admission.admit(requestOf('festival')));
    const refused = (await answers[2])?._unsafeUnwrapErr();
    expect([refused?.kind, refused?.ran, admission.waiting]).toEqual(['overloaded', 'not-run', 2]);
  });

  it('refuses a queued request when its deadline passes', async () => {
    const { clock, admission } = createSetup();
    await fillTargets(admission, 10);
    const answer = admission.admit(requestOf('members', { deadlineMs: 300 }));
    await clock.advance(300);
    const refused = (await answer)._unsafeUnwrapErr();
    expect([refused.kind, refused.ran, admission.waiting]).toEqual(['deadline-unmeetable', 'not-run', 0]);
  });

  it('refuses at once a request that could not be sent before its deadline', async () => {
    // Under overload, requests arrive faster than they complete. If all of them were queued regardless of the expected
    // wait, each would wait for its whole deadline and then fail.
    const { clock, admission } = createSetup({}, { queue: 100 });
    const permits = await fillTargets(admission, 10);
    for (let waiting = 0; waiting < 20; waiting += 1) void admission.admit(requestOf('festival'));
    for (const permit of permits.slice(0, 5)) {
      await clock.advance(100);
      permit.release();
    }
    const wait = admission.expectedWaitMs(50);
    expect(wait).toBeGreaterThan(1_000);
    const refused = (await admission.admit(requestOf('members', { deadlineMs: 1_000 })))._unsafeUnwrapErr();
    expect([refused.kind, refused.retryAfterMs]).toEqual(['deadline-unmeetable', Math.ceil(wait - 1_000)]);
    void admission.admit(requestOf('members', { deadlineMs: 1_000, priority: 80 }));
    expect(admission.waiting).toBe(16);
  });

  it('removes a queued request whose caller disconnects, and returns its rate token', async () => {
    const { admission } = createSetup({ members: { share: 1, requestsPerSecond: 1, burst: 1 } });
    await fillTargets(admission, 10);
    const gone = new AbortController();
    const answer = admission.admit(requestOf('members', { signal: gone.signal }));
    gone.abort();
    expect(kindOf(await answer)).toBe('cancelled');
    expect(admission.waiting).toBe(0);
    void admission.admit(requestOf('members'));
    expect(admission.waiting).toBe(1);
  });

  it('extends the window while targets have room, up to their whole capacity', async () => {
    // When the load balancer sends all callers to one of four entries, targets would idle while requests wait if that
    // entry were limited to a quarter of the capacity.
    const made = createSetup({}, { liveEntries: 4, capacity: 16, queue: 100 });
    const load = {
      running: 1,
      queued: 0,
      queuedTokens: 0,
      aheadTokens: 0,
      prefillRate: 0,
      tokenMs: 0,
      capacity: 4,
    };
    for (let sent = 0; sent < 40; sent += 1) void made.admission.admit(requestOf('members'));
    await flush();
    expect(made.admission.running).toBe(5);
    for (let report = 0; report < 50; report += 1) made.admission.observe(load);
    expect(made.admission.running).toBe(20);
  });

  it('applies changed rules', async () => {
    const made = createSetup({}, { capacity: 1 });
    await fillTargets(made.admission, 2);
    const answer = made.admission.admit(requestOf('members'));
    made.rules = { ...made.rules, capacity: 8 };
    made.admission.refresh();
    expect(kindOf(await answer)).toBe('ok');
  });
});
