import { ManualClock } from '@jasmineroute/core';
import { describe, expect, it } from 'vitest';
import { answerText } from './answer.js';
import { blocksOf, PrefixCache } from './cache.js';
import { Generation } from './generation.js';
import { readPrompt, tokenBytes } from './prompt.js';
import { Scheduler } from './scheduler.js';
import { engineSettings, tuningOf } from './settings.js';

const PROMPT_TOKENS = 320;

function scene(slots: number, cacheBlocks = 100) {
  const clock = new ManualClock();
  const settings = engineSettings.parse({ prefillRate: 8_000, chunkTokens: 160, stepMs: 20 });
  const tuning = tuningOf(settings);
  const cache = new PrefixCache(cacheBlocks, { stored: () => undefined, removed: () => undefined });
  const admitted: string[] = [];
  const scheduler = new Scheduler(slots, cache, tuning, clock, {
    admitted: ({ id }) => admitted.push(id),
    stepped: () => undefined,
  });
  void scheduler.run();
  let order = 0;
  const submit = async (id: string, priority = 0, text = id): Promise<Generation> => {
    const body = {
      model: 'm',
      prompt: text.repeat((PROMPT_TOKENS * 4) / text.length),
      max_tokens: 4,
      priority,
    };
    const prompt = readPrompt.completion(body);
    const bytes = tokenBytes(prompt.text);
    const chain = blocksOf(bytes, { salt: '', model: 'm', adapter: '', version: '1' });
    order += 1;
    const generation = new Generation(id, order, prompt, '1', bytes.length / 4, chain, id, 0);
    scheduler.submit(generation);
    // Lets the loop wake up and set its timer before the test moves the clock.
    await clock.advance(0);
    return generation;
  };
  return { clock, tuning, scheduler, submit, admitted };
}

describe('Scheduler', () => {
  it('takes the time of the prefill for the first token and a step for each further one', async () => {
    const { clock, submit } = scene(4);
    const one = await submit('aaaa');
    await clock.advance(39);
    expect(one.tokens).toHaveLength(0);
    await clock.advance(1);
    expect(one.tokens).toHaveLength(1);
    await clock.advance(60);
    expect(one.tokens).toHaveLength(4);
    expect(one.stage).toBe('done');
  });

  it('computes only what is not cached, and always the last token', async () => {
    const { clock, submit, scheduler } = scene(4);
    await submit('aaaa');
    await clock.advance(200);
    const again = await submit('aaaa');
    await clock.advance(200);
    expect(again.cachedTokens).toBe(PROMPT_TOKENS - 16);
    expect(scheduler.totals.computedTokens).toBe(PROMPT_TOKENS + 16);
  });

  it('shares a step between prefill and decode', async () => {
    const { clock, submit } = scene(4);
    const first = await submit('aaaa');
    await clock.advance(40);
    await submit('bbbb');
    // The step that runs ends after 20 ms; then a chunk of 20 ms shares a step with a decode of 20 ms.
    await clock.advance(20);
    expect(first.tokens).toHaveLength(2);
    await clock.advance(39);
    expect(first.tokens).toHaveLength(2);
    await clock.advance(1);
    expect(first.tokens).toHaveLength(3);
  });

  it('runs smaller priorities first, then first come', async () => {
    const { clock, submit, admitted } = scene(1);
    await submit('aaaa', 5);
    await clock.advance(1);
    await submit('bbbb', 5);
    await submit('cccc', 1);
    await submit('dddd', 5);
    await clock.advance(2_000);
    expect(admitted).toEqual(['aaaa', 'cccc', 'bbbb', 'dddd']);
  });

  it('lets a request wait while running ones hold the cache', async () => {
    const { clock, submit, admitted, scheduler } = scene(4, 30);
    await submit('aaaa');
    await submit('bbbb');
    await clock.advance(50);
    expect(admitted).toEqual(['aaaa']);
    expect(scheduler.load()).toMatchObject({ running: 1, queued: 1 });
    await clock.advance(500);
    expect(admitted).toEqual(['aaaa', 'bbbb']);
  });

  it('cancels at once and gives the slot on', async () => {
    const { clock, submit, scheduler } = scene(1);
    const first = await submit('aaaa');
    const second = await submit('bbbb');
    await clock.advance(50);
    scheduler.cancel(first);
    expect(first.stage).toBe('cancelled');
    await clock.advance(500);
    expect(first.tokens.length).toBeLessThan(3);
    expect(second.stage).toBe('done');
  });

  it('is slower by the factor', async () => {
    const { clock, submit, tuning } = scene(1);
    tuning.slowFactor = 4;
    const one = await submit('aaaa');
    await clock.advance(159);
    expect(one.tokens).toHaveLength(0);
    await clock.advance(1);
    expect(one.tokens).toHaveLength(1);
  });

  it('writes the tokens that a checker expects', async () => {
    const { clock, submit } = scene(1);
    const one = await submit('aaaa');
    await clock.advance(500);
    expect(one.tokens.join('')).toBe('aaaa.0 aaaa.1 aaaa.2 aaaa.3 ');
    expect(answerText('x', 2)).toMatch(/^[0-9a-f]{8}\.0 [0-9a-f]{8}\.1 $/);
  });
});
