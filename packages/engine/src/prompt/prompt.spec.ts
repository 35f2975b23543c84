import { describe, expect, it } from 'vitest';
import { promptOf } from './prompt.js';

const body = (json: unknown): Uint8Array => Buffer.from(JSON.stringify(json));

const textOf = (path: string, json: unknown): string =>
  Buffer.from(promptOf(path, body(json))._unsafeUnwrap().bytes).toString();

describe('promptOf', () => {
  it('renders a chat as the engine does', () => {
    const messages = [
      { role: 'system', content: 'style' },
      {
        role: 'user',
        content: [
          { type: 'text', text: 'a' },
          { type: 'text', text: 'b' },
        ],
      },
    ];
    expect(textOf('/v1/chat/completions', { model: 'm', messages })).toBe(
      '<|system|>\nstyle\n<|user|>\nab\n<|assistant|>\n',
    );
    const continued = {
      model: 'm',
      messages: [{ role: 'assistant', content: 'so' }],
      continue_final_message: true,
    };
    expect(textOf('/v1/chat/completions', continued)).toBe('<|assistant|>\nso');
  });

  it('reads texts and token ids of a completion', () => {
    expect(textOf('/v1/completions?x=1', { model: 'm', prompt: 'häuser' })).toBe('häuser');
    expect(textOf('/v1/completions', { model: 'm', prompt: ['a', 'b'] })).toBe('ab');
    expect(textOf('/v1/completions', { model: 'm', prompt: [0x64636261] })).toBe('abcd');
    expect(textOf('/v1/completions', { model: 'm', prompt: [[0x64636261], [0x64636261]] })).toBe('abcdabcd');
  });

  it('splits model and adapter and reads the flags', () => {
    const json = { model: 'm:captions', prompt: 'p', stream: true, max_tokens: 5, n: 2 };
    expect(promptOf('/v1/completions', body(json))._unsafeUnwrap()).toMatchObject({
      model: 'm',
      adapter: 'captions',
      stream: true,
      maxTokens: 5,
      choices: 2,
    });
  });

  it.each([
    ['/v1/other', { model: 'm' }, 'unknown-route'],
    ['/v1/completions', { model: 'm' }, 'invalid-request'],
    ['/v1/completions', [], 'invalid-request'],
    ['/v1/chat/completions', { model: 'm', messages: [] }, 'invalid-request'],
    ['/v1/chat/completions', { model: 'm', messages: [{ role: 'user', content: 3 }] }, 'invalid-request'],
    ['/toString', { model: 'm' }, 'unknown-route'],
  ])('refuses %s %j as %s', (path, json, kind) => {
    expect(promptOf(path, body(json))._unsafeUnwrapErr()).toMatchObject({ kind, ran: 'not-run' });
  });

  it('refuses bytes that are not UTF-8', () => {
    expect(promptOf('/v1/completions', Buffer.from([0x7b, 0xff]))._unsafeUnwrapErr().kind).toBe(
      'invalid-request',
    );
  });
});
