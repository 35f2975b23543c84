/** The description of a call that routing policies get. */
import type { Prompt } from '@jasmineroute/engine';
import { createChain, tokensOf } from '@jasmineroute/routing';
import type { Job } from '@jasmineroute/routing';
import type { Call, RequestedModel } from '../call/index.js';

/**
 * Describes a call for a routing policy.
 * @param model model version of this attempt.
 * @param prompt prompt of this attempt; undefined for a plain service.
 * @param softwareVersion version of the software that began the answer; undefined if it has not begun.
 */
export function jobOf(
  call: Call,
  model: RequestedModel | undefined,
  prompt: Prompt | undefined,
  excluded: ReadonlySet<string>,
  deadlineMs: number,
  softwareVersion: string | undefined,
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
    softwareVersion,
  };
}
