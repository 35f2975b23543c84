import { describe, expect, it } from 'vitest';
import type { Instance } from '@jasmineroute/directory';
import { callFor, targetWith } from '../testing/calls.js';
import { FakeDirectory, modelDocument } from '../testing/world.js';
import { candidatesOf } from './candidates.js';

function names(instance: Instance, model = 'm'): string[] {
  const view = new FakeDirectory([modelDocument()], [instance]).view();
  const call = callFor(view, model);
  return candidatesOf(call, call.model, view).map(({ name }) => name);
}

function loaded(version: string, adapters: string[] = [], ready = true): Instance {
  return targetWith('a', version, adapters, ready);
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
