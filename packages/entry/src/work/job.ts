/** What a policy may know of a call. */
import type { Prompt } from '@jasmineroute/engine';
import { createChain, tokensOf } from '@jasmineroute/routing';
import type { Job } from '@jasmineroute/routing';
import type { Call, RequestedModel } from '../call/index.js';

/** The job that a policy gets for a call. @param model the weights of this attempt. @param prompt the prompt of this attempt; absent: a plain service. */
export function jobOf(
  call: Call,
  model: RequestedModel | undefined,
  prompt: Prompt | undefined,
  excluded: ReadonlySet<string>,
  deadlineMs: number,
): Job {
  const { service, customer, priority } = call;
  const bytes = prompt?.bytes ?? new Uint8Array(0);
  const namespace = {
    customer,
    model: prompt?.model ?? '',
    adapter: prompt?.adapter ?? '',
    weightsVersion: model?.weights.version ?? '',
  };
  return {
    service: service.service,
    customer,
    model: namespace.model,
    weightsVersion: namespace.weightsVersion,
    chain: createChain(namespace, bytes),
    promptTokens: tokensOf(bytes.length),
    priority,
    deadlineMs,
    objective: service.kind === 'model' ? service.objective : 'latency',
    excluded,
  };
}
