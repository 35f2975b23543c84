/** Updates that many followers need alike, encoded once for all of them. */
import { create, toBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';

/** Updates that are retained; a follower that lags further behind gets a snapshot. */
const MAX_RETAINED_UPDATES = 32;

/** Updates after which the snapshot is encoded again; until then new followers get the last one and the updates since. */
const SNAPSHOT_MAX_LAG = 8;

/** The fields of an event that are the same for all followers of a kind. */
export type SharedFields = Pick<
  controlMessage.FollowEvent,
  'targets' | 'relayed' | 'heard' | 'loads' | 'work' | 'cached' | 'kept'
>;

/** Supplies the fields, and remembers which changes it has returned. */
export interface UpdateSource {
  /** Changes since the last call; with `whole` the full state. */
  fields(whole: boolean): Partial<SharedFields>;
}

interface EncodedUpdate {
  readonly number: number;
  readonly bytes: Uint8Array;
}

/** Updates that a follower has not received yet. */
export interface PendingUpdates {
  /** Encoded events, in order. */
  readonly shared: readonly Uint8Array[];
  /** Number of the last update in `shared`. */
  readonly number: number;
}

/**
 * Numbered updates, each encoded once and sent to every follower that lacks it, so that a further follower costs only the
 * sending of the bytes.
 */
export class SharedUpdates {
  private retained: EncodedUpdate[] = [];
  private latestSnapshot: EncodedUpdate | undefined;
  private lastNumber = 0;
  /** Version up to which changes are encoded. */
  private version = -1;

  constructor(private readonly source: UpdateSource) {}

  /**
   * Updates for a follower.
   * @param received number of the last update that it received; undefined: none.
   * @param version of the changes; a new one encodes the next update.
   */
  since(received: number | undefined, version: number): PendingUpdates {
    if (version !== this.version) this.encodeUpdate(version);
    const oldest = this.retained[0]?.number ?? this.lastNumber + 1;
    const isRetained = received !== undefined && received >= oldest - 1;
    const shared = isRetained ? this.updatesAfter(received) : this.snapshotAndUpdates();
    return { shared, number: this.lastNumber };
  }

  private snapshotAndUpdates(): Uint8Array[] {
    if (
      this.latestSnapshot === undefined ||
      this.lastNumber - this.latestSnapshot.number >= SNAPSHOT_MAX_LAG
    ) {
      // Changes since the last update go into the next one, for the followers that don't get this snapshot.
      this.encodeUpdate(this.version);
      this.latestSnapshot = {
        number: this.lastNumber,
        bytes: encode({ ...this.source.fields(true), whole: true }),
      };
    }
    return [this.latestSnapshot.bytes, ...this.updatesAfter(this.latestSnapshot.number)];
  }

  private updatesAfter(received: number): Uint8Array[] {
    return this.retained.filter(({ number }) => number > received).map(({ bytes }) => bytes);
  }

  private encodeUpdate(version: number): void {
    this.version = version;
    const bytes = encode(this.source.fields(false));
    if (bytes.length === 0) return;
    this.lastNumber += 1;
    this.retained = [...this.retained, { number: this.lastNumber, bytes }].slice(-MAX_RETAINED_UPDATES);
  }
}

const encode = (fields: Partial<SharedFields> & { whole?: boolean }): Uint8Array =>
  toBinary(controlMessage.FollowEventSchema, create(controlMessage.FollowEventSchema, fields));
