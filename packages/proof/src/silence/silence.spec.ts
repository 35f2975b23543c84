import { waitFor } from '@jasmineroute/testkit';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import * as z from 'zod';
import { OPERATOR_KEY, Scene, ask, modelDocument } from '../fixture/index.js';

const IN_FORCE_BOUND_MS = 10_000;
/** Bound on cancelling at the engine what nobody reads any more; the load report lags. */
const CANCEL_BOUND_MS = 3_000;

const load = z.object({ running: z.number(), queued: z.number() });

describe('connections that go silent', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({ desks: 0, stepMs: 30 });
  });

  afterAll(async () => {
    await scene.stop();
  });

  const versionInForce = async (): Promise<number> => {
    const { documents } = await scene.cluster.status();
    const found = documents.find(({ service }) => service === 'lm');
    return found?.behind.length === 0 ? 1 : 0;
  };

  it('to control are left for new ones, and changes still reach everybody', async () => {
    // Symptom: some processes run on old limits for good, although control works and they look well.
    // Sequence: all open connections to control lose every byte, without an end; new ones work.
    // Cause: a watch without a heartbeat, or one whose silence is waited out.
    for (const control of scene.cluster.role('control')) control.link?.blackHole();
    await scene.cluster.apply({ ...modelDocument('limits:\n  queue: 77\n'), key: OPERATOR_KEY });
    await waitFor('the change in force everywhere', async () => (await versionInForce()) === 1, {
      timeoutMs: IN_FORCE_BOUND_MS,
    });
  });

  it('to both agent and engine at once cost the caller nothing but time', async () => {
    // Symptom: one failure is survived, two at the same moment are not.
    // Sequence: while tokens flow, the links entry–agent and agent–engine go silent together.
    // Cause: a recovery that itself waits on the other broken connection.
    const id = 'silent-both';
    const answer = await ask({
      url: scene.url(),
      id,
      tokens: 60,
      onToken: (count) => {
        const holder = scene.holderOf(id);
        if (count !== 10 || holder === undefined) return;
        scene.targetOf(holder.name).link?.blackHole();
        holder.link?.blackHole();
      },
    });
    expect(answer).toMatchObject({ ended: true, broken: false });
    expect(answer.text).toBe(answer.wanted);
    expect(scene.runsOf(id)).toBe(1);
  });

  it('because the caller hung up free the engine', async () => {
    // Symptom: engines work on answers that nobody reads.
    // Sequence: a caller closes its connection in the middle of a long answer.
    // Cause: a hang-up that ends at the entry.
    const id = 'hang-up';
    const abort = new AbortController();
    const running = async (): Promise<number> => {
      const holder = scene.holderOf(id);
      if (holder === undefined) return 0;
      const url = `http://127.0.0.1:${scene.targetOf(holder.name).spec.port}/load`;
      return load.parse(await (await fetch(url)).json()).running;
    };
    await ask({
      url: scene.url(),
      id,
      tokens: 400,
      signal: abort.signal,
      onToken: async (count) => {
        if (count !== 5) return;
        await waitFor('the engine to be busy', async () => (await running()) === 1);
        abort.abort();
      },
    });
    await waitFor('the engine to be idle', async () => (await running()) === 0, {
      timeoutMs: CANCEL_BOUND_MS,
    });
  });
});
