import { describe, expect, it } from 'vitest';
import type { Instance } from '@jasmineroute/directory';
import { FakeDirectory, KEY, modelDocument, target } from '../testing/world.js';
import type { Call, CallerRequest } from './call.js';
import { candidatesOf } from './candidates.js';
import { admitRequest } from './resolve.js';

const request: CallerRequest = {
  requestId: 'r',
  method: 'POST',
  path: '/v1/completions',
  host: 'x',
  headers: [{ name: 'content-type', value: 'application/json' }],
  key: KEY,
  idempotencyKey: undefined,
  deadlineMs: undefined,
};

function names(instance: Instance, model = 'm'): string[] {
  const view = new FakeDirectory([modelDocument()], [instance]).view();
  const body = Buffer.from(JSON.stringify({ model, prompt: 'x' }));
  const call: Call = admitRequest(request, view)._unsafeUnwrap().complete(body)._unsafeUnwrap();
  return candidatesOf(call, call.model, view).map(({ name }) => name);
}

function loaded(version: string, adapters: string[] = [], ready = true): Instance {
  const instance = target('a', '127.0.0.1:1');
  const base = instance.target;
  if (base === undefined) throw new Error('no target');
  return { ...instance, target: { ...base, ready, models: [{ model: 'm', version, adapters }] } };
}

describe('a target is a candidate', () => {
  it('when it is up, ready and has the very weights in memory', () => {
    expect(names(loaded('1'))).toEqual(['a']);
    expect(names({ ...loaded('1'), health: 'suspect' })).toEqual(['a']);
  });

  it('not while it is leaving, down or not ready', () => {
    expect(names({ ...loaded('1'), health: 'leaving' })).toEqual([]);
    expect(names({ ...loaded('1'), health: 'down' })).toEqual([]);
    expect(names(loaded('1', [], false))).toEqual([]);
  });

  it('not with other weights than the document in force names', () => {
    // Symptom: an answer from weights that were replaced.
    // Sequence: a document with new weights is accepted; a target still has the old ones in memory.
    // Cause: the name of the model is the same.
    expect(names(loaded('0'))).toEqual([]);
  });

  it('with an adapter only in the very version', () => {
    expect(names(loaded('1', ['lora@1']), 'm:lora')).toEqual([]);
    expect(names(loaded('1', ['lora@2']), 'm:lora')).toEqual(['a']);
  });
});
