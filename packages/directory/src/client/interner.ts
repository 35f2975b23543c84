/** Shares equal parts of instances. */
import type { Instance, LoadedModel, Target } from '../view/index.js';

/** Distinct values that are held; a view has few, so more means that old ones linger. */
const MAX_HELD = 4_096;

/**
 * Makes equal strings and equal lists of models one object. Thousands of targets of one service differ in name
 * and address only, and messages bring a copy of all else with each of them.
 */
export class Interner {
  private readonly held = new Map<string, unknown>();

  /** An equal instance made of shared parts. */
  instance(instance: Instance): Instance {
    const { role, health, target } = instance;
    return {
      ...instance,
      role,
      health,
      dataCentre: this.text(instance.dataCentre),
      target: target === undefined ? undefined : this.target(target),
    };
  }

  private target(target: Target): Target {
    return {
      ...target,
      service: this.text(target.service),
      role: this.text(target.role),
      models: this.models(target.models),
    };
  }

  private text(text: string): string {
    return this.share(`text ${text}`, text);
  }

  private models(models: readonly LoadedModel[]): readonly LoadedModel[] {
    return this.share(`models ${JSON.stringify(models)}`, models);
  }

  private share<T>(key: string, value: T): T {
    const known = this.held.get(key);
    if (known !== undefined) return known as T;
    if (this.held.size >= MAX_HELD) this.held.clear();
    this.held.set(key, value);
    return value;
  }
}
