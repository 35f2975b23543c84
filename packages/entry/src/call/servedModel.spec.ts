import { describe, expect, it } from 'vitest';
import type { Instance } from '@jasmineroute/directory';
import { callFor, targetWith as loaded } from '../testing/calls.js';
import { FakeDirectory, modelDocument } from '../testing/testEntry.js';
import { servedModel } from './servedModel.js';

function served(instances: Instance[], name = 'm'): string[] {
  const view = new FakeDirectory([modelDocument()], instances).view();
  const call = callFor(view, name);
  if (call.model === undefined) throw new Error('no model');
  const { weights, adapter } = servedModel(call, call.model, view);
  return [weights.version, adapter];
}

describe('the weights that a call is served with', () => {
  // Guards against refusing every request while the first target loads new weights. A document with a new version is
  // accepted while all targets still have the old one, and only the document's version would be allowed to answer.
  it('are the old ones until a target has the new ones, and the new ones from then on', () => {
    expect(served([loaded('a', '0'), loaded('b', '0')])).toEqual(['0', '']);
    expect(served([loaded('a', '1'), loaded('b', '0')])).toEqual(['1', '']);
  });

  it('are those that most targets have while several old versions are loaded', () => {
    expect(served([loaded('a', '0'), loaded('b', '0.5'), loaded('c', '0')])).toEqual(['0', '']);
  });

  it('include the adapter in the version that is loaded', () => {
    expect(served([loaded('a', '0', ['lora@1'])], 'm:lora')).toEqual(['0', 'lora@1']);
    expect(served([loaded('a', '0', []), loaded('b', '1', ['lora@2'])], 'm:lora')).toEqual(['1', 'lora@2']);
  });

  it('are those of the document if no target has the model loaded', () => {
    expect(served([])).toEqual(['1', '']);
  });
});
