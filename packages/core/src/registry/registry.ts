/** Registry of pluggable features by name. */

/** Features by name. */
export class Registry<Feature> {
  private readonly features = new Map<string, Feature>();

  /** @param kind kind of the features, for error messages: "policy", "role" */
  constructor(private readonly kind: string) {}

  /** Adds a feature. @throws Error when the name is taken. */
  add(name: string, feature: Feature): this {
    if (this.features.has(name)) throw new Error(`${this.kind} "${name}" is registered twice`);
    this.features.set(name, feature);
    return this;
  }

  /** The feature of a name, or undefined. */
  find(name: string): Feature | undefined {
    return this.features.get(name);
  }

  /** The feature of a name. @throws Error that lists the registered names. */
  get(name: string): Feature {
    const feature = this.features.get(name);
    if (feature === undefined)
      throw new Error(`no ${this.kind} "${name}"; there are: ${this.names().join(', ')}`);
    return feature;
  }

  /** All names, in the order of registration. */
  names(): string[] {
    return [...this.features.keys()];
  }
}
