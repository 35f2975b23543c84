import { hashKey } from '@jasmineroute/document';
import { describe, expect, it } from 'vitest';
import { exitCodes } from '../exit/index.js';
import { KEY, files, run, text } from '../fixture/index.js';

describe('usage', () => {
  it.each([
    ['a wrong setting', 'status --controls nowhere'],
    ['a missing setting', 'status'],
    ['an unknown command', 'destroy'],
    ['an unknown flag', 'status --force'],
    ['a missing operand', 'apply'],
    ['half of the TLS files', 'status --controls 127.0.0.1:1 --tls-key key'],
    [
      'TLS files that are not there',
      'status --controls 127.0.0.1:1 --tls-key a --tls-authority b --tls-certificate c',
    ],
    ['no key', 'apply desk.yaml --controls 127.0.0.1:1'],
    ['two keys', 'apply desk.yaml --controls 127.0.0.1:1 --key a --key-file key'],
    ['a key of nobody', 'apply desk.yaml --controls 127.0.0.1:1 --key other'],
  ])('exits with 2 on %s', async (_name, words) => {
    const { code, out, error } = await run(words, files);
    expect({ code, out }).toEqual({ code: exitCodes.usage, out: '' });
    expect(error).not.toBe('');
  });

  it('explains itself', async () => {
    expect(await run('--help')).toMatchObject({ code: exitCodes.ok, error: '' });
    const { out } = await run('apply --help');
    expect(out).toContain('Examples:');
    expect(out).toContain('Exit codes:');
    expect(out).toContain('JASMINEROUTE_KEY_FILE');
  });
});

describe('check', () => {
  it('accepts good documents', async () => {
    expect(await run('check -', files)).toEqual({
      code: exitCodes.ok,
      out: '<stdin>: desk: ok\n',
      error: '',
    });
  });

  it('prints every fault with its line, and clashes between files', async () => {
    const bad = text.replace('kind: plain', 'kind: plain\ncolour: red').replace('/desk/**', 'desk');
    const clash = text.replace('service: desk', 'service: other');
    const { code, out } = await run('check bad.yaml desk.yaml clash.yaml', {
      ...files,
      'bad.yaml': bad,
      'clash.yaml': clash,
    });
    expect(code).toBe(exitCodes.fault);
    expect(out.split('\n')).toEqual([
      'bad.yaml:2: colour: is not a known field',
      'bad.yaml:5: routes.0.path: must start with "/"',
      'desk.yaml: desk: ok',
      'clash.yaml: other: ok',
      'together: other.routes.0: is already a route of desk',
      '',
    ]);
  });

  it('writes stable JSON', async () => {
    const { out } = await run('check bad.yaml --output json', { 'bad.yaml': `${text}colour: red\n` });
    expect(JSON.parse(out)).toEqual({
      ok: false,
      files: [{ file: 'bad.yaml', problems: [{ path: 'colour', line: 5, message: 'is not a known field' }] }],
      conflicts: [],
    });
  });
});

it('prints the hash of a key', async () => {
  expect(await run('hash-key', { '-': `${KEY}\n` })).toMatchObject({ code: 0, out: `${hashKey(KEY)}\n` });
  expect(await run('hash-key key', { key: '\n' })).toMatchObject({ code: exitCodes.usage, out: '' });
});
