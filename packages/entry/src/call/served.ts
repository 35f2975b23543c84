/** The weights that a call is served with while a rollout of new ones is under way. */
import type { LoadedModel, View } from '@jasmineroute/directory';
import { isTakingWork } from './candidates.js';
import type { Call, ModelPart } from './call.js';

/** Version of the weights, and the adapter as "name@version" or empty. */
interface Build {
  readonly version: string;
  readonly adapter: string;
}

const keyOf = ({ version, adapter }: Build): string => `${version} ${adapter}`;

/**
 * The document's own weights as soon as one target has them ready; until then those that most ready targets
 * still have. Without this, a new version in the document would refuse every request until the first target has
 * loaded it: `model-not-loaded` for minutes while targets with the old weights stand idle. Chains carry the
 * version that is really used, so caches of two versions never mix.
 */
export function servedModel(call: Call, model: ModelPart, view: View): ModelPart {
  const wanted = { version: model.weights.version, adapter: model.adapter };
  const counts = new Map<string, { build: Build; count: number }>();
  for (const build of buildsOf(call, model, view)) {
    if (keyOf(build) === keyOf(wanted)) return model;
    const known = counts.get(keyOf(build)) ?? { build, count: 0 };
    counts.set(keyOf(build), { build, count: known.count + 1 });
  }
  const [most] = [...counts.values()].sort(
    (a, b) => b.count - a.count || (keyOf(a.build) < keyOf(b.build) ? 1 : -1),
  );
  if (most === undefined) return model;
  return {
    ...model,
    weights: { ...model.weights, version: most.build.version },
    adapter: most.build.adapter,
  };
}

/** What the ready targets of the call's service have of the model; one for each target. */
function buildsOf(call: Call, model: ModelPart, view: View): Build[] {
  const builds: Build[] = [];
  for (const instance of view.instances.values()) {
    if (!isTakingWork(instance, call.service.service)) continue;
    const loaded = instance.target?.models.find((one) => one.model === model.weights.name);
    const adapter = loaded === undefined ? undefined : adapterIn(loaded, model);
    if (loaded !== undefined && adapter !== undefined) builds.push({ version: loaded.version, adapter });
  }
  return builds;
}

/** The wanted adapter in the version that is loaded; empty where none is wanted; undefined where it is missing. */
function adapterIn(loaded: LoadedModel, model: ModelPart): string | undefined {
  if (model.adapter === '' || loaded.adapters.includes(model.adapter)) return model.adapter;
  return loaded.adapters.find((adapter) => adapter.startsWith(`${model.prompt.adapter}@`));
}
