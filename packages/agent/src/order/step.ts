/** Steps from what an engine has loaded to what it is to have. */
import type { Model } from '@jasmineroute/document';
import type { EngineModel, EngineOrder } from '@jasmineroute/engine';

/** What carrying a step out needs. */
export interface Step {
  readonly order: EngineOrder;
  readonly model: string;
  /** Weights come from the store, which is rate-limited. */
  readonly fetches: boolean;
  /**
   * The model's old weights go: somebody else must serve it meanwhile. `wanted` is the version that the
   * document asks for; undefined when it does not have the model any more.
   */
  readonly takesAway?: { readonly loaded: string; readonly wanted: string | undefined };
}

/** What steps are made from. */
export interface Situation {
  /** All models of the document. */
  readonly models: readonly Model[];
  /** Those that this target is to have. */
  readonly wanted: readonly Model[];
  readonly loaded: readonly EngineModel[];
}

function unloads({ models, wanted, loaded }: Situation): Step[] {
  return loaded
    .filter(({ model }) => !wanted.some(({ name }) => name === model))
    .map(({ model, version }) => ({
      order: { type: 'unload-model', model, version },
      model,
      fetches: false,
      takesAway: { loaded: version, wanted: models.find(({ name }) => name === model)?.version },
    }));
}

function loads({ wanted, loaded }: Situation): Step[] {
  return wanted
    .filter(({ name }) => !loaded.some(({ model }) => model === name))
    .map(({ name, version }) => ({
      order: { type: 'load-model', model: name, version },
      model: name,
      fetches: true,
    }));
}

function replacements({ wanted, loaded }: Situation): Step[] {
  return wanted.flatMap(({ name, version }): Step[] => {
    const old = loaded.find(({ model }) => model === name);
    if (old === undefined || old.version === version) return [];
    return [
      {
        order: { type: 'load-model', model: name, version },
        model: name,
        fetches: true,
        takesAway: { loaded: old.version, wanted: version },
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
      fetches: true,
    })),
    ...spare.map(({ name, version }): Step => ({
      order: { type: 'unload-adapter', model, name, version },
      model,
      fetches: false,
    })),
  ];
}

function adapters({ wanted, loaded }: Situation): Step[] {
  return wanted.flatMap((model) => {
    const has = loaded.find((one) => one.model === model.name && one.version === model.version);
    return has === undefined ? [] : adapterSteps(model, has);
  });
}

/** Steps in the order in which they are tried: memory is freed before it is filled. */
export function stepsOf(situation: Situation): Step[] {
  return [unloads, loads, adapters, replacements].flatMap((part) => part(situation));
}
