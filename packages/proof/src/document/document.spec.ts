import { mkdir, rm, writeFile } from 'node:fs/promises';
import { waitFor } from '@jasmineroute/testkit';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import * as z from 'zod';
import { OPERATOR_KEY, Scene, applyMany, modelDocument } from '../fixture/index.js';

/** Bound on finding out that one is cut off. */
const ISOLATION_BOUND_MS = 6_000;
const RECOVERY_BOUND_MS = 30_000;
/** Changes that a frozen process misses. */
const CHANGES = 200;

const statusOutput = z.object({
  revision: z.number(),
  vouched: z.boolean(),
  replicas: z.array(z.object({ name: z.string(), state: z.string() })),
  documents: z.array(z.object({ service: z.string(), version: z.number(), behind: z.array(z.string()) })),
});

const document = (queue: number): string => modelDocument(`limits:\n  queue: ${queue}\n`).text;

describe('documents under failure', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({ engines: 1, desks: 0, documents: [modelDocument()] });
  });

  afterAll(async () => {
    await scene.stop();
  });

  const ctl = async (args: readonly string[], through?: string) => {
    const controls = through === undefined ? [] : ['--controls', scene.member(through).address];
    return scene.cluster.ctl([...args, ...controls], OPERATOR_KEY);
  };

  const apply = async (queue: number, args: readonly string[] = [], through?: string) => {
    const file = `${scene.dataOf('operator')}-${queue}.yaml`;
    await writeFile(file, document(queue));
    return ctl(['apply', file, '--output', 'json', ...args], through);
  };

  const status = async (through?: string) => {
    const { stdout } = await ctl(['status', '--output', 'json'], through);
    return statusOutput.parse(JSON.parse(stdout));
  };

  const versionAt = async (through?: string): Promise<number> => {
    const report = await status(through);
    return report.documents.find(({ service }) => service === 'lm')?.version ?? 0;
  };

  const leader = async (): Promise<string> =>
    waitFor('a leader', async () => (await status()).replicas.find(({ state }) => state === 'leader')?.name, {
      timeoutMs: RECOVERY_BOUND_MS,
    });

  it('lets exactly one of two operators win who race on one version', async () => {
    // Symptom: both operators are told that their change is accepted, and one of the two is gone.
    // Sequence: both read version n, both apply their own n+1 through different control instances at once.
    // Cause: a write without a compare of the version it is based on.
    const base = String(await versionAt());
    const results = await Promise.all([
      apply(101, ['--base-version', base, '--operator', 'first'], 'control-1'),
      apply(102, ['--base-version', base, '--operator', 'first'], 'control-2'),
      apply(103, ['--base-version', base, '--operator', 'first'], 'control-3'),
    ]);
    const codes = results.map(({ code }) => code).sort();
    expect(codes).toEqual([0, 3, 3]);
    expect(await versionAt()).toBe(Number(base) + 1);
  });

  it('keeps what it accepted when the leader is killed in the middle of many changes', async () => {
    // Symptom: a change that was accepted is gone after a failure.
    // Sequence: changes follow each other; the leader gets kill -9 between two syncs.
    // Cause: an accept before a quorum has synced the change.
    let accepted = 0;
    const victim = await leader();
    for (let round = 1; round <= 12; round += 1) {
      if (round === 5) await scene.member(victim).kill();
      const { code, stdout } = await apply(200 + round);
      if (code === 0) accepted = z.object({ version: z.number() }).parse(JSON.parse(stdout)).version;
    }
    await scene.member(victim).start();
    await scene.cluster.settled();
    expect(await versionAt()).toBeGreaterThanOrEqual(accepted);
    const { stdout } = await ctl(['get', 'lm']);
    expect(stdout).toContain('queue: 212');
  });

  it('finds out that it is isolated, stops vouching, and reverts nothing on its return', async () => {
    // Symptom: an instance that was cut off for long says what was true before, or brings it back.
    // Sequence: a control instance loses all links without an end signalled; changes go on; it returns.
    // Cause: a leader that needs no answers to go on, or a return that counts as news.
    const isolated = await leader();
    const before = await versionAt();
    scene.isolate(isolated);
    const rest = ['control-1', 'control-2', 'control-3'].filter((name) => name !== isolated);
    const accepted = await waitFor(
      'the others to accept a change',
      async () => (await apply(300, [], rest[0])).code === 0,
      { timeoutMs: RECOVERY_BOUND_MS },
    );
    expect(accepted).toBe(true);
    const readiness = async (): Promise<number> =>
      (await fetch(`${scene.member(isolated).ownUrl}/readyz`)).status;
    await waitFor('the isolated one to say so', async () => (await readiness()) === 503, {
      timeoutMs: ISOLATION_BOUND_MS,
    });
    scene.reunite(isolated);
    await waitFor('it to catch up', async () => (await versionAt(isolated)) === before + 1, {
      timeoutMs: RECOVERY_BOUND_MS,
    });
    expect(await versionAt()).toBe(before + 1);
    await scene.cluster.settled();
  });

  it('loses nothing when a second instance is lost right after a lost disk was replaced', async () => {
    // Symptom: accepted changes are gone although only one instance at a time was ever missing.
    // Sequence: an instance loses its disk and comes back empty; once it is a voter again, another one dies.
    // Cause: an empty disk that votes under the old name before it has learnt everything.
    const before = await versionAt();
    const victim = 'control-2';
    await scene.member(victim).kill();
    await rm(scene.dataOf(victim), { recursive: true, force: true });
    await mkdir(scene.dataOf(victim), { recursive: true });
    await scene.member(victim).start();
    await waitFor(
      'the empty one to be a voter again',
      async () => {
        const { replicas } = await status();
        const found = replicas.find(({ name }) => name === victim);
        return found?.state === 'follower' || found?.state === 'leader';
      },
      { timeoutMs: RECOVERY_BOUND_MS },
    );
    const second = 'control-1';
    await scene.member(second).kill();
    const { code } = await waitFor(
      'a change to be accepted by the two that are left',
      async () => {
        const result = await apply(400, [], 'control-3');
        return result.code === 0 ? result : undefined;
      },
      { timeoutMs: RECOVERY_BOUND_MS },
    );
    expect(code).toBe(0);
    expect(await versionAt(victim)).toBe(before + 1);
    await scene.member(second).start();
    await scene.cluster.settled();
  });

  it('brings an instance up to date that missed hundreds of changes', async () => {
    // Symptom: an entry runs on limits of last week.
    // Sequence: it is frozen while 200 changes are accepted, and goes on.
    // Cause: a feed that has only the last changes, or a gap between snapshot and tail.
    const entry = scene.member('entry-1');
    const before = await versionAt();
    entry.process.pause();
    await applyMany({
      address: scene.member('control-1').address,
      service: 'lm',
      key: OPERATOR_KEY,
      count: CHANGES,
      baseVersion: before,
      text: document,
    });
    entry.process.resume();
    await waitFor(
      'the newest version in force everywhere',
      async () => {
        const report = await status();
        const found = report.documents.find(({ service }) => service === 'lm');
        return found?.version === before + CHANGES && found.behind.length === 0;
      },
      { timeoutMs: RECOVERY_BOUND_MS },
    );
  });
});
