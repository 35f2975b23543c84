import OpenAI from 'openai';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Scene, keyOf } from '../fixture/index.js';

describe('the openai client', () => {
  let scene: Scene;

  beforeAll(async () => {
    scene = await Scene.start({ controls: 1, engines: 1, desks: 0 });
  });

  afterAll(async () => {
    await scene.stop();
  });

  const client = (entry: number, apiKey = keyOf('alder')): OpenAI =>
    new OpenAI({ baseURL: `${scene.url(entry)}/v1`, apiKey, maxRetries: 0 });

  it.each([1, 2])('streams a chat through entry %i', async (entry) => {
    const stream = await client(entry).chat.completions.create({
      model: 'writer',
      stream: true,
      max_completion_tokens: 6,
      messages: [{ role: 'user', content: 'A question.' }],
    });
    const parts: string[] = [];
    for await (const chunk of stream) parts.push(chunk.choices[0]?.delta.content ?? '');
    expect(parts.join('').trim().split(' ')).toHaveLength(6);
  });

  it('answers a chat and a completion as JSON', async () => {
    const chat = await client(1).chat.completions.create({
      model: 'writer',
      max_completion_tokens: 3,
      messages: [{ role: 'user', content: 'A question.' }],
    });
    expect(chat.choices[0]?.message.content?.trim().split(' ')).toHaveLength(3);
    expect(chat.usage?.completion_tokens).toBe(3);
    const text = await client(1).completions.create({ model: 'writer', max_tokens: 2, prompt: 'Once' });
    expect(text.choices[0]?.text.trim().split(' ')).toHaveLength(2);
  });

  it('lists the models of the customer', async () => {
    const models = await client(1).models.list();
    expect(models.data.map(({ id }) => id).sort()).toEqual(['once', 'writer']);
  });

  it('throws its own typed errors', async () => {
    const messages = [{ role: 'user' as const, content: 'x' }];
    const wrongKey = client(1, 'wrong').chat.completions.create({ model: 'writer', messages });
    await expect(wrongKey).rejects.toBeInstanceOf(OpenAI.AuthenticationError);
    const noModel = client(1).chat.completions.create({ model: 'none', messages });
    await expect(noModel).rejects.toBeInstanceOf(OpenAI.NotFoundError);
    const noMessages = client(1).chat.completions.create({ model: 'writer', messages: [] });
    await expect(noMessages).rejects.toBeInstanceOf(OpenAI.BadRequestError);
  });
});
