import { describe, expect, it } from 'vitest';
import type { Instance } from '@jasmineroute/directory';
import { callFor, targetWith } from '../testing/calls.js';
import { FakeDirectory, modelDocument } from '../testing/testEntry.js';
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
  it('when it is up, ready and has exactly these weights loaded', () => {
    expect(names(loaded('1'))).toEqual(['a']);
    expect(names({ ...loaded('1'), health: 'suspect' })).toEqual(['a']);
  });

  it('not while it is leaving, down or not ready', () => {
    expect(names({ ...loaded('1'), health: 'leaving' })).toEqual([]);
    expect(names({ ...loaded('1'), health: 'down' })).toEqual([]);
    expect(names(loaded('1', [], false))).toEqual([]);
  });

  // Guards against an answer from replaced weights. A document with new weights is accepted while a target still has
  // the old ones loaded under the same model name.
  it('not with other weights than the current document names', () => {
    expect(names(loaded('0'))).toEqual([]);
  });

  it('with an adapter only in exactly the right version', () => {
    expect(names(loaded('1', ['lora@1']), 'm:lora')).toEqual([]);
    expect(names(loaded('1', ['lora@2']), 'm:lora')).toEqual(['a']);
  });
});
