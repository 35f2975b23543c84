import { waitFor } from '@jasmineroute/testkit';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Scene, ask, order } from '../fixture/index.js';
import type { Receipt } from '../fixture/index.js';

const RECOVERY_BOUND_MS = 30_000;

/** Run states of receipts that leave no doubt that the work was not begun. */
const isNotRun = (receipt: Receipt): boolean => receipt.run === 'not-run';

describe('non-idempotent requests', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({ engines: 2, desks: 2 });
  });

  afterAll(async () => {
    await scene.stop();
  });

  /** Sends the order again, at each entry in turn, until something else than "still running" comes. */
  const resend = (key: string): Promise<Receipt> => {
    let attempt = 0;
    return waitFor(
      'a final answer to the resend',
      async () => {
        attempt += 1;
        const receipt = await order({ url: scene.url(1 + (attempt % 2)), key, nonce: key });
        const isOpen = receipt.status === 0 || receipt.code === 'already-running' || isNotRun(receipt);
        return isOpen ? undefined : receipt;
      },
      { timeoutMs: RECOVERY_BOUND_MS, everyMs: 200 },
    );
  };

  it('gives a resend at another entry the first answer', async () => {
    // Symptom: two valuation notes on one policy file.
    // Sequence: the answer is lost on its way; the caller sends again, at another entry.
    // Cause: entries that know only their own requests.
    const first = await order({ url: scene.url(1), key: 'k-resend', nonce: 'k-resend' });
    const second = await order({ url: scene.url(2), key: 'k-resend', nonce: 'k-resend' });
    expect(first).toMatchObject({ status: 200, replayed: false });
    expect(second).toMatchObject({ status: 200, replayed: true, nonce: 'k-resend' });
    expect(scene.runsOf('k-resend')).toBe(1);
  });

  it('runs one of many equal orders that come at once', async () => {
    // Symptom: a small house is billed twice.
    // Sequence: an impatient client sends the same order ten times at once, at both entries.
    // Cause: a check and a claim that are two steps.
    const key = 'k-burst';
    const receipts = await Promise.all(
      Array.from({ length: 10 }, (_, at) => order({ url: scene.url(1 + (at % 2)), key, nonce: key })),
    );
    expect(receipts.some(({ status }) => status === 200)).toBe(true);
    expect(scene.runsOf(key)).toBe(1);
  });

  it('refuses a key that comes back with another request', async () => {
    // Symptom: a caller gets the answer to an older request of its own.
    // Sequence: a client that counts its keys restarts, and uses a key again with another body.
    // Cause: a claim that remembers the key but not what it was for.
    const key = 'k-reused';
    await order({ url: scene.url(1), key, nonce: key });
    const other = await order({ url: scene.url(2), key, nonce: 'k-reused-2', item: 'oil painting' });
    expect(other).toMatchObject({ status: 422, code: 'key-reused', run: 'not-run' });
    expect([scene.runsOf(key), scene.runsOf('k-reused-2')]).toEqual([1, 0]);
  });

  it('never runs twice when the entry dies while the order runs', async () => {
    // Symptom: as above.
    // Sequence: kill -9 of the entry after it handed the order to the agent; the caller resends elsewhere.
    // Cause: a claim that lives in the process that died.
    const key = 'k-entry-dies';
    await slowDesks(20);
    const lost = order({ url: scene.url(1), key, nonce: key });
    await waitFor('the order to run', () => scene.runsOf(key) === 1);
    await scene.member('entry-1').kill();
    expect((await lost).status).toBe(0);
    await scene.member('entry-1').start();
    await resend(key);
    expect(scene.runsOf(key)).toBe(1);
    await slowDesks(1);
    await scene.cluster.settled();
  });

  it('never runs twice when the agent dies while the order runs', async () => {
    // Symptom: as above.
    // Sequence: kill -9 of the agent beside the target; nobody can tell whether the order ran.
    // Cause: an unknown outcome treated as a failure.
    const key = 'k-agent-dies';
    await slowDesks(20);
    const first = order({ url: scene.url(1), key, nonce: key });
    await waitFor('the order to run', () => scene.runsOf(key) === 1);
    const holder = scene.holderOf(key);
    if (holder !== undefined) await scene.member(holder.name).crash();
    const receipt = await first;
    expect(isNotRun(receipt)).toBe(false);
    const final = await resend(key);
    expect(['outcome-unknown', undefined]).toContain(final.code);
    expect(scene.runsOf(key)).toBe(1);
    await slowDesks(1);
    await scene.cluster.settled();
  });

  it('never runs twice when the connection to the target is reset while the order runs', async () => {
    // Symptom: as above.
    // Sequence: the target's connection is reset after the request went out and before the answer.
    // Cause: a client library that quietly sends again on a new connection.
    const key = 'k-reset';
    await slowDesks(20);
    const first = order({ url: scene.url(1), key, nonce: key });
    await waitFor('the order to run', () => scene.runsOf(key) === 1);
    const holder = scene.holderOf(key);
    if (holder !== undefined) scene.targetOf(holder.name).link?.reset();
    expect(isNotRun(await first)).toBe(false);
    await resend(key);
    expect(scene.runsOf(key)).toBe(1);
    await slowDesks(1);
  });

  it('never runs twice when control instances die around the claim', async () => {
    // Symptom: as above.
    // Sequence: while orders come, one control instance after the other gets kill -9 and returns; claim
    // answers are lost; callers resend at the other entry.
    // Cause: a claim that is granted before a quorum holds it, or a lost answer taken for a refusal.
    const keys = Array.from({ length: 60 }, (_, at) => `k-control-${at}`);
    const harm = (async () => {
      for (const name of ['control-1', 'control-2', 'control-3']) {
        await scene.member(name).kill();
        await scene.member(name).start();
      }
    })();
    await Promise.all(
      keys.map(async (key, at) => {
        await order({ url: scene.url(1 + (at % 2)), key, nonce: key });
        return resend(key);
      }),
    );
    await harm;
    for (const key of keys) expect([key, scene.runsOf(key)]).toEqual([key, 1]);
    await scene.cluster.settled();
  });

  it('says "not run", truly, while no quorum can hold a claim', async () => {
    // Symptom: an order is refused as not run, and has run; or it runs without a claim.
    // Sequence: two of three control instances are gone.
    // Cause: an entry that goes on without a quorum.
    const key = 'k-no-quorum';
    await scene.member('control-1').kill();
    await scene.member('control-2').kill();
    const refused = await order({ url: scene.url(1), key, nonce: key });
    expect(refused).toMatchObject({ status: 503, run: 'not-run' });
    expect(scene.runsOf(key)).toBe(0);
    const read = await ask({ url: scene.url(1), id: 'idempotent-goes-on' });
    expect(read).toMatchObject({ status: 200, ended: true });
    await scene.member('control-1').start();
    await scene.member('control-2').start();
    await scene.cluster.settled();
    expect((await resend(key)).status).toBe(200);
    expect(scene.runsOf(key)).toBe(1);
  });

  /** Makes the plain services' answers take `factor` times as long. */
  async function slowDesks(factor: number): Promise<void> {
    for (const { name } of scene.agents('desk')) {
      const url = `http://127.0.0.1:${scene.targetOf(name).spec.port}/stand-in/slow`;
      const body = JSON.stringify({ factor });
      await fetch(url, { method: 'POST', headers: { 'content-type': 'application/json' }, body });
    }
  }
});
