/** HTTP form of orders to engines. */
import { match } from 'ts-pattern';
import type { EngineOrder } from '../port/index.js';

/** An order as a POST. */
export interface OrderCall {
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Returns the call for an order. The fencing token is sent as a JSON number. */
export function orderCall(order: EngineOrder, fence: bigint): OrderCall {
  const number = Number(fence);
  const adapterBody = (adapter: { model: string; name: string; version: string }) => ({
    model: adapter.model,
    lora_name: adapter.name,
    version: adapter.version,
    fence: number,
  });
  return match(order)
    .with({ type: 'load-model' }, ({ model, version }) => ({
      path: '/v1/load_model',
      body: { model, version, fence: number },
    }))
    .with({ type: 'unload-model' }, ({ model, version }) => ({
      path: '/v1/unload_model',
      body: { model, version, fence: number },
    }))
    .with({ type: 'load-adapter' }, (adapter) => ({
      path: '/v1/load_lora_adapter',
      body: adapterBody(adapter),
    }))
    .with({ type: 'unload-adapter' }, (adapter) => ({
      path: '/v1/unload_lora_adapter',
      body: adapterBody(adapter),
    }))
    .with({ type: 'change-role' }, ({ role }) => ({ path: '/v1/role', body: { role, fence: number } }))
    .exhaustive();
}
