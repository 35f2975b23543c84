/** Calls and target instances for unit tests. */
import type { Instance, View } from '@jasmineroute/directory';
import { resolveRequest } from '../call/index.js';
import type { Call, CallerRequest } from '../call/index.js';
import { KEY, target } from './testEntry.js';

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

/** A completion call for a model of the view's documents. */
export function callFor(view: View, model = 'm'): Call {
  const body = Buffer.from(JSON.stringify({ model, prompt: 'x' }));
  return resolveRequest(request, view)._unsafeUnwrap().complete(body)._unsafeUnwrap();
}

/** A target that has one version of the model "m" loaded. */
export function targetWith(name: string, version: string, adapters: string[] = [], ready = true): Instance {
  const instance = target(name, '127.0.0.1:1');
  const base = instance.target;
  if (base === undefined) throw new Error('no target');
  return { ...instance, target: { ...base, ready, models: [{ model: 'm', version, adapters }] } };
}
