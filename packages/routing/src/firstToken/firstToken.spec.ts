import { describe, expect, it } from 'vitest';
import { createRandom } from '../policy/index.js';
import { FirstTokenModel } from './firstToken.js';

/** Model trained with 500 to 60,000 tokens to prefill on equal engines, with noise of 25%. */
function trainedModel(baseMs: number, tokenMs: number, prompts = 200): FirstTokenModel {
  const random = createRandom(7);
  const model = new FirstTokenModel();
  for (let n = 0; n < prompts; n += 1) {
    const tokens = 500 * 120 ** random();
    model.record(`t${n % 6}`, tokens, (baseMs + tokenMs * tokens) * (0.75 + random() / 2));
  }
  return model;
}

describe('the model of first tokens', () => {
  it.each([
    ['typical engines', 45, 0.0075],
    ['engines ten times faster', 5, 0.000_75],
    ['engines ten times slower', 400, 0.075],
    ['engines with slow prefill and a short base time', 2, 0.05],
    ['engines with fast prefill and a long base time', 300, 0.001],
  ])('predicts %s within 20%%', (_title, baseMs, tokenMs) => {
    const model = trainedModel(baseMs, tokenMs);
    for (const tokens of [1_000, 10_000, 50_000]) {
      const ratio = model.predict('t1', tokens) / (baseMs + tokenMs * tokens);
      expect(ratio).toBeGreaterThan(0.8);
      expect(ratio).toBeLessThan(1.2);
    }
  });

  it('separates the base time from the time per token', () => {
    // Prompts of 3,000 tokens and more take 45 ms plus 7.5 ms per 1,000 tokens. When the whole time was divided by the
    // tokens, the quotient of short prompts gave 590 ms for a queue of 40,000 tokens instead of the measured 356 ms, and
    // callers were refused although their first token would have come in time.
    const model = trainedModel(45, 0.0075);
    expect(model.predict('new', 40_000)).toBeLessThan(420);
    expect(model.predict('new', 0)).toBeGreaterThan(30);
  });

  it('detects a slow target and its recovery', () => {
    const model = trainedModel(45, 0.0075);
    for (let n = 0; n < 30; n += 1) model.record('slow', 5_000, 250);
    expect(model.predict('slow', 5_000) / model.predict('t1', 5_000)).toBeGreaterThan(1.5);
    for (let n = 0; n < 60; n += 1) model.record('slow', 5_000, 82);
    expect(model.predict('slow', 5_000) / model.predict('t1', 5_000)).toBeLessThan(1.4);
  });

  it('gives a single request that hangs little weight', () => {
    const model = trainedModel(45, 0.0075);
    const before = model.predict('t1', 10_000);
    model.record('t2', 10_000, 30_000);
    expect(model.predict('t1', 10_000)).toBeLessThan(before * 1.2);
  });
});
