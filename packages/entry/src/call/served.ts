/** The weights that a call is served with while a rollout of new ones is under way. */
import type { LoadedModel, View } from '@jasmineroute/directory';
import { isAvailable } from './candidates.js';
import type { Call, RequestedModel } from './call.js';

/** Version of the weights, and the adapter as "name@version" or empty. */
interface LoadedVersion {
  readonly version: string;
  readonly adapter: string;
}

const keyOf = ({ version, adapter }: LoadedVersion): string => `${version} ${adapter}`;

/**
 * The document's own weights as soon as one target has them ready; until then those that most ready targets
 * still have. Without this, a new version in the document would refuse every request until the first target has
 * loaded it: `model-not-loaded` for minutes while targets with the old weights stand idle. Chains carry the
 * version that is really used, so caches of two versions never mix.
 */
export function servedModel(call: Call, model: RequestedModel, view: View): RequestedModel {
  const wanted = { version: model.weights.version, adapter: model.adapter };
  const counts = new Map<string, { loaded: LoadedVersion; count: number }>();
  for (const loaded of loadedVersions(call, model, view)) {
    if (keyOf(loaded) === keyOf(wanted)) return model;
    const entry = counts.get(keyOf(loaded)) ?? { loaded, count: 0 };
    counts.set(keyOf(loaded), { loaded, count: entry.count + 1 });
  }
  const [mostCommon] = [...counts.values()].sort(
    (a, b) => b.count - a.count || (keyOf(a.loaded) < keyOf(b.loaded) ? 1 : -1),
  );
  if (mostCommon === undefined) return model;
  return {
    ...model,
    weights: { ...model.weights, version: mostCommon.loaded.version },
    adapter: mostCommon.loaded.adapter,
  };
}

/** What the ready targets of the call's service have of the model; one for each target. */
function loadedVersions(call: Call, model: RequestedModel, view: View): LoadedVersion[] {
  const builds: LoadedVersion[] = [];
  for (const instance of view.instances.values()) {
    if (!isAvailable(instance, call.service.service)) continue;
    const loaded = instance.target?.models.find((one) => one.model === model.weights.name);
    const adapter = loaded === undefined ? undefined : loadedAdapter(loaded, model);
    if (loaded !== undefined && adapter !== undefined) builds.push({ version: loaded.version, adapter });
  }
  return builds;
}

/** The wanted adapter in the version that is loaded; empty where none is wanted; undefined where it is missing. */
function loadedAdapter(loaded: LoadedModel, model: RequestedModel): string | undefined {
  if (model.adapter === '' || loaded.adapters.includes(model.adapter)) return model.adapter;
  return loaded.adapters.find((adapter) => adapter.startsWith(`${model.prompt.adapter}@`));
}
