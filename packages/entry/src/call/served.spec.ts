import { describe, expect, it } from 'vitest';
import type { Instance } from '@jasmineroute/directory';
import { callFor, targetWith as loaded } from '../testing/calls.js';
import { FakeDirectory, modelDocument } from '../testing/world.js';
import { servedModel } from './served.js';

function served(instances: Instance[], name = 'm'): string[] {
  const view = new FakeDirectory([modelDocument()], instances).view();
  const call = callFor(view, name);
  if (call.model === undefined) throw new Error('no model');
  const { weights, adapter } = servedModel(call, call.model, view);
  return [weights.version, adapter];
}

describe('the weights that a call is served with', () => {
  it('are the old ones until a target has the new ones, and the new ones from then on', () => {
    // Symptom: every request is refused for as long as the first target loads new weights.
    // Sequence: a document with a new version is accepted; all targets still have the old one.
    // Cause: only the document is asked which weights may answer.
    expect(served([loaded('a', '0'), loaded('b', '0')])).toEqual(['0', '']);
    expect(served([loaded('a', '1'), loaded('b', '0')])).toEqual(['1', '']);
  });

  it('are those of most targets where several old ones are left', () => {
    expect(served([loaded('a', '0'), loaded('b', '0.5'), loaded('c', '0')])).toEqual(['0', '']);
  });

  it('come with the adapter in the version that is loaded', () => {
    expect(served([loaded('a', '0', ['lora@1'])], 'm:lora')).toEqual(['0', 'lora@1']);
    expect(served([loaded('a', '0', []), loaded('b', '1', ['lora@2'])], 'm:lora')).toEqual(['1', 'lora@2']);
  });

  it('are the document’s own where no target has any', () => {
    expect(served([])).toEqual(['1', '']);
  });
});
