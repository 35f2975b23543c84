/** Models and adapters in the stand-in's memory, and the orders that change them. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { EngineSettings, Tuning } from './settings.js';

/** A version of weights by name. */
export interface Versioned {
  readonly name: string;
  readonly version: string;
}

/** Loaded weights with their adapters. */
export interface LoadedWeights {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly Versioned[];
}

const fence = z.union([z.number(), z.string().regex(/^\d+$/)]).transform((value) => BigInt(value));
const modelOrder = z.object({ model: z.string().min(1), version: z.string().min(1), fence });
const adapterOrder = modelOrder.extend({ lora_name: z.string().min(1) });
const roleOrder = z.object({ role: z.string().min(1), fence });

/** Why an order was refused. */
export interface OrderRefusal {
  readonly status: 400 | 404 | 409 | 503;
  readonly message: string;
}

type OrderResult = Result<undefined, OrderRefusal>;

/** Fetches weights; resolves when they are in memory. */
export type WeightFetch = (name: string, version: string) => Promise<OrderResult>;

const refuse = (status: OrderRefusal['status'], message: string): OrderResult => err({ status, message });

/** What is loaded now. */
export class Inventory {
  role = 'mixed';
  private readonly loaded = new Map<string, { version: string; adapters: Map<string, string> }>();
  private highestFence = -1n;

  constructor(
    settings: EngineSettings,
    private readonly tuning: Tuning,
    private readonly fetchWeights: WeightFetch,
    private readonly dropped: (model: string, version: string, adapter?: string) => void,
  ) {
    for (const { name, version } of settings.models) this.loaded.set(name, { version, adapters: new Map() });
    for (const { name, version } of settings.adapters) {
      const [model = '', adapter = ''] = name.split(':');
      this.loaded.get(model)?.adapters.set(adapter, version);
    }
  }

  /** All loaded weights. */
  list(): LoadedWeights[] {
    return [...this.loaded].map(([model, { version, adapters }]) => ({
      model,
      version,
      adapters: [...adapters].map(([name, adapterVersion]) => ({ name, version: adapterVersion })),
    }));
  }

  /** Version of the weights for a request, with the adapter's; undefined when not loaded. */
  versionFor(model: string, adapter: string): string | undefined {
    const weights = this.loaded.get(model);
    if (weights === undefined) return undefined;
    if (adapter === '') return weights.version;
    return weights.adapters.has(adapter) ? weights.version : undefined;
  }

  /** Handlers by path of the order. */
  readonly orders: Record<string, (body: unknown) => Promise<OrderResult>> = {
    '/v1/load_model': (body) => this.loadModel(modelOrder.parse(body)),
    '/v1/unload_model': (body) => this.unloadModel(modelOrder.parse(body)),
    '/v1/load_lora_adapter': (body) => this.loadAdapter(adapterOrder.parse(body)),
    '/v1/unload_lora_adapter': (body) => this.unloadAdapter(adapterOrder.parse(body)),
    '/v1/role': (body) => this.changeRole(roleOrder.parse(body)),
  };

  private fenced(value: bigint): boolean {
    if (value < this.highestFence && this.tuning.checkFence) return true;
    if (value > this.highestFence) this.highestFence = value;
    return false;
  }

  private async loadModel(order: z.output<typeof modelOrder>): Promise<OrderResult> {
    if (this.fenced(order.fence)) return refuse(409, 'old fencing number');
    const fetched = await this.fetchWeights(order.model, order.version);
    if (fetched.isErr()) return fetched;
    const before = this.loaded.get(order.model);
    if (before !== undefined) this.dropped(order.model, before.version);
    this.loaded.set(order.model, { version: order.version, adapters: new Map() });
    return ok(undefined);
  }

  private unloadModel(order: z.output<typeof modelOrder>): Promise<OrderResult> {
    if (this.fenced(order.fence)) return Promise.resolve(refuse(409, 'old fencing number'));
    const weights = this.loaded.get(order.model);
    if (weights?.version !== order.version) return Promise.resolve(refuse(404, 'not loaded'));
    this.loaded.delete(order.model);
    this.dropped(order.model, order.version);
    return Promise.resolve(ok(undefined));
  }

  private async loadAdapter(order: z.output<typeof adapterOrder>): Promise<OrderResult> {
    if (this.fenced(order.fence)) return refuse(409, 'old fencing number');
    const fetched = await this.fetchWeights(`${order.model}:${order.lora_name}`, order.version);
    if (fetched.isErr()) return fetched;
    const weights = this.loaded.get(order.model);
    if (weights === undefined) return refuse(404, 'model not loaded');
    weights.adapters.set(order.lora_name, order.version);
    this.dropped(order.model, weights.version, order.lora_name);
    return ok(undefined);
  }

  private unloadAdapter(order: z.output<typeof adapterOrder>): Promise<OrderResult> {
    if (this.fenced(order.fence)) return Promise.resolve(refuse(409, 'old fencing number'));
    const weights = this.loaded.get(order.model);
    if (weights?.adapters.delete(order.lora_name) !== true) return Promise.resolve(refuse(404, 'not loaded'));
    this.dropped(order.model, weights.version, order.lora_name);
    return Promise.resolve(ok(undefined));
  }

  private changeRole(order: z.output<typeof roleOrder>): Promise<OrderResult> {
    if (this.fenced(order.fence)) return Promise.resolve(refuse(409, 'old fencing number'));
    this.role = order.role;
    return Promise.resolve(ok(undefined));
  }
}
