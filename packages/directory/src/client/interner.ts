/** Shares equal parts of instances to save memory. */
import type { Instance, LoadedModel, Target } from '../view/index.js';

/** Maximum number of distinct values. A view has few, so more means that most are no longer used. */
const MAX_ENTRIES = 4_096;

/**
 * Replaces equal strings and equal model lists by one shared object. Thousands of targets of one service differ only
 * in name and address, and each decoded message holds its own copy of everything else.
 */
export class Interner {
  private readonly held = new Map<string, unknown>();

  /** Returns an equal instance made of shared parts. */
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
    return this.intern(`text ${text}`, text);
  }

  private models(models: readonly LoadedModel[]): readonly LoadedModel[] {
    return this.intern(`models ${JSON.stringify(models)}`, models);
  }

  private intern<T>(key: string, value: T): T {
    const known = this.held.get(key);
    if (known !== undefined) return known as T;
    if (this.held.size >= MAX_ENTRIES) this.held.clear();
    this.held.set(key, value);
    return value;
  }
}
