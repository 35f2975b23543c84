import { waitFor } from '@jasmineroute/testkit';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import * as z from 'zod';
import { OPERATOR_KEY, Scene, ask, modelDocument } from '../fixture/index.js';
import type { Answer } from '../fixture/index.js';

const ROLLOUT_BOUND_MS = 60_000;

const health = z.object({ models: z.array(z.object({ model: z.string(), version: z.string() })) });

const both = modelDocument('weights:\n  managed: true\n  concurrentLoads: 1\n');
/** One model only, so that every target is to have it. */
const managed = {
  ...both,
  text: both.text
    .replace("  - name: once\n    version: '1'\n", '')
    .replace('nonIdempotent:\n  - models: [once]\n', ''),
};
const renewed = managed.text.replace("name: writer\n    version: '1'", "name: writer\n    version: '2'");

describe('a rollout of new weights', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({ desks: 0, documents: [managed], engineArgs: ['--load-ms', '1000'] });
  });

  afterAll(async () => {
    await scene.stop();
  });

  const versionsAt = async (agent: string): Promise<string[]> => {
    const answer = await fetch(`http://127.0.0.1:${scene.targetOf(agent).spec.port}/health`);
    const { models } = health.parse(await answer.json());
    return models.filter(({ model }) => model === 'writer').map(({ version }) => version);
  };

  it('leaves the model no moment without a target, and goes on when an agent dies in it', async () => {
    // Symptom: a model is refused for minutes while its weights are renewed, or stays half renewed.
    // Sequence: the document names a new version under load; an agent gets kill -9 in the middle.
    // Cause: all targets unload at once; or an order that only the agent that died knew of.
    const failures: Answer[] = [];
    const over = new AbortController();
    const load = (async () => {
      while (!over.signal.aborted) {
        const answer = await ask({ url: scene.url(1), tokens: 3 });
        if (answer.text !== answer.wanted || !answer.ended) failures.push(answer);
      }
    })();
    await scene.cluster.apply({ service: 'lm', text: renewed, key: OPERATOR_KEY });
    await scene.member('lm-2').crash();
    await waitFor(
      'both engines to hold the new version only',
      async () => {
        const found = await Promise.all(['lm-1', 'lm-2'].map(versionsAt));
        return found.every((versions) => versions.join() === '2');
      },
      { timeoutMs: ROLLOUT_BOUND_MS, everyMs: 100 },
    );
    over.abort();
    await load;
    expect(failures.map(({ status, code }) => [status, code])).toEqual([]);
  });
});
