/** Selects the model version that serves a call during the rollout of a new one. */
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
 * The version in the document as soon as one ready target has loaded it; until then the version that most ready targets
 * have. Otherwise a new version in the document would fail every request with `model-not-loaded` for minutes, until the
 * first target has loaded it, while targets with the old weights are idle. Hash chains include the version that is
 * actually used, so that cached blocks of two versions never mix.
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

/** The version of the model on each ready target of the call's service. */
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

/** The requested adapter in the version that is loaded; empty if none is requested; undefined if it is not loaded. */
function loadedAdapter(loaded: LoadedModel, model: RequestedModel): string | undefined {
  if (model.adapter === '' || loaded.adapters.includes(model.adapter)) return model.adapter;
  return loaded.adapters.find((adapter) => adapter.startsWith(`${model.prompt.adapter}@`));
}
