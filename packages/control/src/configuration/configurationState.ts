/** The numbered configuration and the named weights as replicated state. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';
import type { CommandHandlers, Feature } from '../state/index.js';

/** The configuration held. Number 0: none yet. */
export interface HeldConfiguration {
  readonly number: bigint;
  /** The checked configuration as JSON. */
  readonly content: Uint8Array;
  /** The bytes that the operator sent. */
  readonly source: Uint8Array;
}

/** A version of weights and when this instance first told of it, monotonic. */
interface Told {
  readonly model: string;
  readonly version: bigint;
  readonly at: number;
}

/** Versions named longer ago are in place or their targets are given up on, milliseconds. */
const RECENT_MS = 30_000;

const NONE: HeldConfiguration = { number: 0n, content: new Uint8Array(0), source: new Uint8Array(0) };

/**
 * The highest number wins. A lower one, which arrives late from a second operator or as a resend, changes
 * nothing, so that what is in force never goes back; so does an equal one, whatever it holds.
 */
export class ConfigurationState implements Feature {
  private current = NONE;
  private readonly versions = new Map<string, bigint>();
  /** When this instance first told of a version: not replicated, for the ages that followers hear. */
  private told: Told[] = [];
  private namings = 0;
  private readonly listeners = new Set<() => void>();

  readonly handlers: CommandHandlers = {
    configure: (command) => ({ case: 'configure', value: this.configure(command) }),
    nameWeights: (command) => ({ case: 'nameWeights', value: this.nameWeights(command) }),
    readConfiguration: () => ({ case: 'readConfiguration', value: this.read() }),
  };

  /** The configuration held. */
  held(): HeldConfiguration {
    return this.current;
  }

  /** The newest named version of each model's weights. */
  weights(): controlMessage.NamedWeights[] {
    return [...this.versions].map(([model, version]) =>
      create(controlMessage.NamedWeightsSchema, { model, version }),
    );
  }

  /**
   * The newest versions, and older ones that were named lately, with their ages at monotonic time `now`: weights count
   * as replaced from the first newer version on, not from the newest.
   */
  recentWeights(now: number): controlMessage.NamedWeights[] {
    this.noteTold(now);
    return this.told.map(({ model, version, at }) =>
      create(controlMessage.NamedWeightsSchema, { model, version, ageMs: Math.round(now - at) }),
    );
  }

  /** Counts how often weights were named, so that followers hear of it at once. */
  weightsVersion(): number {
    return this.namings;
  }

  /** Calls back after each change and each restored snapshot. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  advanced(): void {
    // Configurations don't expire.
  }

  expectsTime(): boolean {
    return false;
  }

  snapshot(): Uint8Array {
    const snapshot = create(stateMessage.ConfigurationSnapshotSchema, {
      ...this.current,
      weights: this.weights(),
    });
    return toBinary(stateMessage.ConfigurationSnapshotSchema, snapshot);
  }

  restore(data: Uint8Array): void {
    const { number, content, source, weights } = fromBinary(stateMessage.ConfigurationSnapshotSchema, data);
    this.current = { number, content, source };
    this.versions.clear();
    for (const { model, version } of weights) this.versions.set(model, version);
    this.namings += 1;
    this.announce();
  }

  private noteTold(now: number): void {
    for (const [model, version] of this.versions) {
      const isKnown = this.told.some((one) => one.model === model && one.version === version);
      if (!isKnown) this.told.push({ model, version, at: now });
    }
    this.told = this.told.filter(
      ({ model, version, at }) => now - at < RECENT_MS || this.versions.get(model) === version,
    );
  }

  private configure({ number, content, source }: stateMessage.Configure): stateMessage.ConfigureOutcome {
    const stored = number > this.current.number;
    if (stored) {
      this.current = { number, content, source };
      this.announce();
    }
    return create(stateMessage.ConfigureOutcomeSchema, { number: this.current.number, stored });
  }

  private nameWeights({ weights }: stateMessage.NameWeights): stateMessage.NameWeightsOutcome {
    const { model = '', version = 0n } = weights ?? {};
    const known = this.versions.get(model) ?? 0n;
    if (version > known) {
      this.versions.set(model, version);
      this.namings += 1;
      this.announce();
    }
    return create(stateMessage.NameWeightsOutcomeSchema, { version: version > known ? version : known });
  }

  private read(): stateMessage.ReadConfigurationOutcome {
    const { number, source } = this.current;
    return create(stateMessage.ReadConfigurationOutcomeSchema, { number, source });
  }

  private announce(): void {
    for (const listener of this.listeners) listener();
  }
}
