/** The numbered configuration and the named versions of weights as replicated state. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { controlMessage, stateMessage } from '@jasmineroute/protocol';
import type { CommandHandlers, Feature } from '../state/index.js';
import { decodeSharing, encodeSharing, firstSharing, namesIn, nextSharing } from './sharing.js';
import type { CustomerNames, Sharing } from './sharing.js';

/** The configuration held. Number 0 means none yet. */
export interface HeldConfiguration {
  readonly number: bigint;
  /** The checked configuration as JSON. */
  readonly content: Uint8Array;
  /** The bytes that the operator sent. */
  readonly source: Uint8Array;
}

/** A version of weights, with the monotonic time at which this instance first reported it to followers, milliseconds. */
interface ReportedVersion {
  readonly model: string;
  readonly version: bigint;
  readonly at: number;
}

/**
 * How long a replaced version is still reported, milliseconds. By then a target has loaded a newer one, or its update has
 * been given up.
 */
const RECENT_WEIGHTS_MS = 30_000;

const NO_CONFIGURATION: HeldConfiguration = {
  number: 0n,
  content: new Uint8Array(0),
  source: new Uint8Array(0),
};

/**
 * The configuration with the highest number is in force. A lower number, which arrives late from a second operator or as
 * a resend, changes nothing, so that an older configuration never replaces a newer one; nor does an equal number,
 * whatever its content.
 */
export class ConfigurationState implements Feature {
  private current = NO_CONFIGURATION;
  /**
   * Undefined: no command of a release that derives it has been applied. Deriving it begins with such a command, as replicas hold
   * snapshots of older releases at different positions, and would begin with different configurations.
   */
  private sharers: Sharing | undefined;
  private readonly versions = new Map<string, bigint>();
  /** Versions reported to followers, for their ages. Not replicated. */
  private reported: ReportedVersion[] = [];
  private namingCount = 0;
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

  /** Who has cached parts under the common salt; undefined: not known. */
  sharing(): Sharing | undefined {
    return this.sharers;
  }

  /** The newest named version of each model's weights. */
  weights(): controlMessage.NamedWeights[] {
    return [...this.versions].map(([model, version]) =>
      create(controlMessage.NamedWeightsSchema, { model, version }),
    );
  }

  /**
   * The newest versions and older ones that were named recently, with their ages at monotonic time `now`: a version
   * counts as replaced since the first newer version was named, not since the newest one was.
   */
  recentWeights(now: number): controlMessage.NamedWeights[] {
    this.updateReported(now);
    return this.reported.map(({ model, version, at }) =>
      create(controlMessage.NamedWeightsSchema, { model, version, ageMs: Math.round(now - at) }),
    );
  }

  /** A counter of changes to the named weights, so that followers are notified at once. */
  weightsVersion(): number {
    return this.namingCount;
  }

  /** Calls back after each change and each restored snapshot. Returns the way to stop. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  advanceTo(): void {
    // Configurations don't expire.
  }

  hasPendingExpiry(): boolean {
    return false;
  }

  snapshot(): Uint8Array {
    const snapshot = create(stateMessage.ConfigurationSnapshotSchema, {
      ...this.current,
      weights: this.weights(),
      sharing: this.sharers && encodeSharing(this.sharers),
    });
    return toBinary(stateMessage.ConfigurationSnapshotSchema, snapshot);
  }

  restore(data: Uint8Array): void {
    const snapshot = fromBinary(stateMessage.ConfigurationSnapshotSchema, data);
    const { number, content, source, weights, sharing } = snapshot;
    this.current = { number, content, source };
    this.sharers = sharing && decodeSharing(sharing);
    this.versions.clear();
    for (const { model, version } of weights) this.versions.set(model, version);
    this.namingCount += 1;
    this.notifyListeners();
  }

  private updateReported(now: number): void {
    for (const [model, version] of this.versions) {
      const isKnown = this.reported.some((entry) => entry.model === model && entry.version === version);
      if (!isKnown) this.reported.push({ model, version, at: now });
    }
    this.reported = this.reported.filter(
      ({ model, version, at }) => now - at < RECENT_WEIGHTS_MS || this.versions.get(model) === version,
    );
  }

  private configure(command: stateMessage.Configure): stateMessage.ConfigureOutcome {
    const { number, content, source } = command;
    const stored = number > this.current.number;
    if (stored) {
      this.sharers = this.sharingUnder(command);
      this.current = { number, content, source };
      this.notifyListeners();
    }
    return create(stateMessage.ConfigureOutcomeSchema, { number: this.current.number, stored });
  }

  private sharingUnder({ number, content, customers, sharing }: stateMessage.Configure): Sharing | undefined {
    if (this.sharers === undefined && customers === undefined) return undefined;
    const names: CustomerNames = customers ?? namesIn(content);
    return nextSharing(this.sharingBefore(sharing), number, names);
  }

  /** Where this replica was restored from a snapshot of an older release, the sender of the command may know more. */
  private sharingBefore(sent: stateMessage.Sharing | undefined): Sharing {
    const known = sent && decodeSharing(sent);
    const { sharers } = this;
    if (sharers === undefined) return known ?? firstSharing(namesIn(this.current.content));
    return known !== undefined && known.since > sharers.since ? known : sharers;
  }

  private nameWeights({ weights }: stateMessage.NameWeights): stateMessage.NameWeightsOutcome {
    const { model = '', version = 0n } = weights ?? {};
    const known = this.versions.get(model) ?? 0n;
    if (version > known) {
      this.versions.set(model, version);
      this.namingCount += 1;
      this.notifyListeners();
    }
    return create(stateMessage.NameWeightsOutcomeSchema, { version: version > known ? version : known });
  }

  private read(): stateMessage.ReadConfigurationOutcome {
    const { number, source } = this.current;
    return create(stateMessage.ReadConfigurationOutcomeSchema, { number, source });
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}
