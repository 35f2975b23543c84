/** The one schema of service documents. Types and the reference pages are taken from it. */
import * as z from 'zod';
import { address, host, name, pathPattern } from './primitive.js';
import { customer, nonIdempotentRule, owner, shared } from './shared.js';

/** Routing policies that a document can name: those that the routing package registers. */
export const policyNames = [
  'default',
  'round-robin',
  'least-outstanding',
  'rendezvous',
  'rendezvous-probe',
  'learnt-hints',
  'v1',
  'v2',
  'v3',
  'v4',
] as const;

const adapter = z.strictObject({
  name: name.describe('Name of the adapter; callers ask for `model:adapter`.'),
  version: z.string().min(1).max(64).describe('Version of the adapter. Caches of two versions never mix.'),
});

const model = z.strictObject({
  name: z
    .string()
    .max(128)
    .regex(/^[^\s:]+$/, 'must have no space and no ":", which parts a model from an adapter')
    .describe('Name that callers ask for.'),
  version: z.string().min(1).max(64).describe('Version of the weights. Caches of two versions never mix.'),
  adapters: z.array(adapter).default([]).describe('Adapters that are loaded with the model.'),
  share: z
    .number()
    .positive()
    .max(1)
    .default(1)
    .describe(
      "Share of the service's targets that load the model; all models' shares are scaled to the whole.",
    ),
});

const weights = z
  .strictObject({
    concurrentLoads: z
      .number()
      .int()
      .positive()
      .max(10_000)
      .default(1)
      .describe('Targets that may load from the weight store at once.'),
    managed: z
      .boolean()
      .default(false)
      .describe('Whether agents order models onto engines; `false`: engines come with their models.'),
  })
  .prefault({})
  .describe('How models and adapters reach the engines.');

const modelService = z
  .strictObject({
    kind: z.literal('model').describe('A pool of model engines.'),
    ...shared,
    objective: z
      .enum(['latency', 'reuse'])
      .default('latency')
      .describe(
        'What the owner weighs most: `latency`, the tail of the time to first token; `reuse`, cached prompt work.',
      ),
    policy: z
      .enum(policyNames)
      .default('default')
      .describe("Routing policy; `default` is the product's own, the others serve comparison."),
    models: z
      .array(model)
      .min(1, 'must hold at least one model')
      .describe('Models that callers may ask for.'),
    weights,
  })
  .describe('Document of a pool of model engines.');

const route = z
  .strictObject({
    path: pathPattern
      .optional()
      .describe('Path, with `*` for one segment and a last `**` for the rest. All when absent.'),
    host: host.optional().describe('Host that callers name. All when absent.'),
  })
  .refine((value) => value.path !== undefined || value.host !== undefined, 'must have a path or a host');

const plainService = z
  .strictObject({
    kind: z.literal('plain').describe('An HTTP service without a model.'),
    ...shared,
    routes: z
      .array(route)
      .min(1, 'must hold at least one route')
      .describe(
        'Requests that go to the service. The closest route wins: a host before none, then the longer path.',
      ),
    authenticated: z.boolean().default(true).describe('Whether a bearer key of a customer is asked for.'),
  })
  .describe('Document of a plain HTTP service.');

const replica = z.strictObject({
  name: name.describe('Name of the control instance.'),
  address: address.describe('Where the other control instances reach it, host:port.'),
});

const controlService = z
  .strictObject({
    kind: z.literal('control').describe('The system itself.'),
    service: z.literal('control').describe('Always `control`.'),
    owner,
    replicas: z.array(replica).min(1).max(9).describe('The instances that hold the durable state.'),
  })
  .describe('Document of the system itself.');

/** Schemas by kind of document. */
export const documentKinds = { model: modelService, plain: plainService, control: controlService } as const;

/** Any service document. */
export const documentSchema = z.discriminatedUnion('kind', [modelService, plainService, controlService]);

/** A checked document with defaults filled in; durations in milliseconds. */
export type Document = z.output<typeof documentSchema>;
export type DocumentKind = Document['kind'];
export type ModelService = z.output<typeof modelService>;
export type PlainService = z.output<typeof plainService>;
export type ControlService = z.output<typeof controlService>;
export type Customer = z.output<typeof customer>;
export type Model = z.output<typeof model>;
export type NonIdempotentRule = z.output<typeof nonIdempotentRule>;
export type Route = z.output<typeof route>;
export type Objective = ModelService['objective'];

/** A service with customers: every kind but the system's own. */
export type RoutedService = ModelService | PlainService;
