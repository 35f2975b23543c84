import { waitFor } from '@jasmineroute/testkit';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { OPERATOR_KEY, Scene, ask, modelDocument } from '../fixture/index.js';

/** Long enough for many blocks. */
const PROMPT = 'A bronze of the twelfth century, its provenance and its condition. '.repeat(60);
const CACHE_BOUND_MS = 10_000;

describe('cache entries', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({ engines: 1, desks: 0 });
  });

  afterAll(async () => {
    await scene.stop();
  });

  const cached = async (customer: 'alder' | 'birch'): Promise<number> => {
    const answer = await ask({ url: scene.url(), prompt: PROMPT, customer });
    expect(answer.text).toBe(answer.wanted);
    return answer.cachedTokens ?? 0;
  };

  it('serve the same customer again', async () => {
    await cached('alder');
    await waitFor('a hit', async () => (await cached('alder')) > 500, { timeoutMs: CACHE_BOUND_MS });
  });

  it('never serve another customer', async () => {
    // Symptom: a customer can tell by the time to first token what another one asked.
    // Sequence: two customers send the same prompt to the same engine.
    // Cause: cached blocks found by the prompt alone.
    await cached('alder');
    expect(await cached('birch')).toBe(0);
  });

  it('are not relied on when the engine came back empty', async () => {
    // Symptom: requests go to the slower engine for a cache that is gone, or get answers from nowhere.
    // Sequence: the engine crashes and returns empty at once; the next request has the same prefix.
    // Cause: an index that outlives its engine's incarnation.
    await cached('alder');
    await scene.targetOf('lm-1').crash();
    const answer = await waitFor(
      'the engine to serve again',
      async () => {
        const next = await ask({ url: scene.url(), prompt: PROMPT });
        return next.ended ? next : undefined;
      },
      { timeoutMs: CACHE_BOUND_MS },
    );
    expect(answer.cachedTokens ?? 0).toBe(0);
    expect(answer.text).toBe(answer.wanted);
  });

  it('are not relied on across versions of the weights', async () => {
    // Symptom: an answer continues from key-value blocks that other weights computed.
    // Sequence: the document moves to a new version; the same prompt comes again.
    // Cause: a namespace without the version of the weights.
    await cached('alder');
    const managed = modelDocument('weights:\n  managed: true\n').text;
    const next = managed.replace("name: writer\n    version: '1'", "name: writer\n    version: '2'");
    await scene.cluster.apply({ service: 'lm', text: next, key: OPERATOR_KEY });
    const engine = `http://127.0.0.1:${scene.targetOf('lm-1').spec.port}`;
    await waitFor(
      'the new version to be loaded',
      async () => (await (await fetch(`${engine}/health`)).text()).includes('"version":"2"'),
      { timeoutMs: 30_000 },
    );
    const first = await waitFor(
      'the new version to serve',
      async () => {
        const answer = await ask({ url: scene.url(), prompt: PROMPT });
        return answer.ended ? answer : undefined;
      },
      { timeoutMs: 30_000 },
    );
    expect(first.cachedTokens ?? 0).toBe(0);
  });
});
