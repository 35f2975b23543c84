/** Steps from the models that an engine has loaded to those that it should have. */
import type { Model } from '@jasmineroute/document';
import type { EngineModel, EngineOrder } from '@jasmineroute/engine';

/** One order and what has to hold before it is sent. */
export interface Step {
  readonly order: EngineOrder;
  readonly model: string;
  /** Whether it loads weights from the weight store, whose concurrent loads are limited. */
  readonly fetchesWeights: boolean;
  /**
   * Set when the step removes the loaded weights of the model, which another target must serve meanwhile.
   * `wanted` is the version in the document; undefined when the document no longer has the model.
   */
  readonly removedWeights?: { readonly loaded: string; readonly wanted: string | undefined };
}

/** What the steps are computed from. */
export interface ReconcileInput {
  /** All models of the document. */
  readonly models: readonly Model[];
  /** Models assigned to this target. */
  readonly wanted: readonly Model[];
  readonly loaded: readonly EngineModel[];
}

function unloads({ models, wanted, loaded }: ReconcileInput): Step[] {
  return loaded
    .filter(({ model }) => !wanted.some(({ name }) => name === model))
    .map(({ model, version }) => ({
      order: { type: 'unload-model', model, version },
      model,
      fetchesWeights: false,
      removedWeights: { loaded: version, wanted: models.find(({ name }) => name === model)?.version },
    }));
}

function loads({ wanted, loaded }: ReconcileInput): Step[] {
  return wanted
    .filter(({ name }) => !loaded.some(({ model }) => model === name))
    .map(({ name, version }) => ({
      order: { type: 'load-model', model: name, version },
      model: name,
      fetchesWeights: true,
    }));
}

function replacements({ wanted, loaded }: ReconcileInput): Step[] {
  return wanted.flatMap(({ name, version }): Step[] => {
    const old = loaded.find(({ model }) => model === name);
    if (old === undefined || old.version === version) return [];
    return [
      {
        order: { type: 'load-model', model: name, version },
        model: name,
        fetchesWeights: true,
        removedWeights: { loaded: old.version, wanted: version },
      },
    ];
  });
}

function adapterSteps(wanted: Model, loaded: EngineModel): Step[] {
  const model = wanted.name;
  const missing = wanted.adapters.filter(
    ({ name, version }) => !loaded.adapters.some((has) => has.name === name && has.version === version),
  );
  const spare = loaded.adapters.filter(({ name }) => !wanted.adapters.some((wants) => wants.name === name));
  return [
    ...missing.map(({ name, version }): Step => ({
      order: { type: 'load-adapter', model, name, version },
      model,
      fetchesWeights: true,
    })),
    ...spare.map(({ name, version }): Step => ({
      order: { type: 'unload-adapter', model, name, version },
      model,
      fetchesWeights: false,
    })),
  ];
}

function adapters({ wanted, loaded }: ReconcileInput): Step[] {
  return wanted.flatMap((model) => {
    const has = loaded.find((one) => one.model === model.name && one.version === model.version);
    return has === undefined ? [] : adapterSteps(model, has);
  });
}

/** Steps in the order in which they are tried: unloading first, to free memory for loads. */
export function stepsOf(input: ReconcileInput): Step[] {
  return [unloads, loads, adapters, replacements].flatMap((part) => part(input));
}
