/** News that many followers lack alike, encoded once for all of them. */
import { create, toBinary } from '@bufbuild/protobuf';
import { controlMessage } from '@jasmineroute/protocol';

/** Bulletins that are kept; a follower that lags further is told everything anew. */
const MOST_KEPT = 32;

/** Bulletins after which everything is encoded anew for those that come: until then they are told everything and what came since. */
const WHOLE_LASTS = 8;

/** The fields of an event that all followers of a kind are told alike. */
export type SharedFields = Pick<
  controlMessage.FollowEvent,
  'targets' | 'relayed' | 'heard' | 'loads' | 'work' | 'cached' | 'kept'
>;

/** Where the fields come from. It remembers how far it has told. */
export interface BulletinSource {
  /** What has changed since the last call; `whole`: all that there is. */
  fields(whole: boolean): Partial<SharedFields>;
}

interface Bulletin {
  readonly number: number;
  readonly bytes: Uint8Array;
}

/** What a follower is to be told. */
export interface BulletinNews {
  /** Encoded events, in order. */
  readonly shared: readonly Uint8Array[];
  /** Number of the last bulletin in it. */
  readonly number: number;
}

/**
 * Numbered bulletins of what changed. One is made when there is news, and is the same for all that lack it: what a follower
 * costs is the sending of its bytes, however much there is to tell.
 */
export class Bulletins {
  private kept: Bulletin[] = [];
  private whole: Bulletin | undefined;
  private last = 0;
  /** Version of the news that the last one tells. */
  private version = -1;

  constructor(private readonly source: BulletinSource) {}

  /** What a follower lacks that was told up to bulletin `told`, undefined: nothing, when the news has this version. */
  since(told: number | undefined, version: number): BulletinNews {
    if (version !== this.version) this.make(version);
    const oldest = this.kept[0]?.number ?? this.last + 1;
    const isKnown = told !== undefined && told >= oldest - 1;
    const shared = isKnown ? this.after(told) : this.everything();
    return { shared, number: this.last };
  }

  private everything(): Uint8Array[] {
    if (this.whole === undefined || this.last - this.whole.number >= WHOLE_LASTS) {
      // What changed since the last bulletin belongs to the next one, for those that were told before.
      this.make(this.version);
      this.whole = { number: this.last, bytes: encode({ ...this.source.fields(true), whole: true }) };
    }
    return [this.whole.bytes, ...this.after(this.whole.number)];
  }

  private after(told: number): Uint8Array[] {
    return this.kept.filter(({ number }) => number > told).map(({ bytes }) => bytes);
  }

  private make(version: number): void {
    this.version = version;
    const bytes = encode(this.source.fields(false));
    if (bytes.length === 0) return;
    this.last += 1;
    this.kept = [...this.kept, { number: this.last, bytes }].slice(-MOST_KEPT);
  }
}

const encode = (fields: Partial<SharedFields> & { whole?: boolean }): Uint8Array =>
  toBinary(controlMessage.FollowEventSchema, create(controlMessage.FollowEventSchema, fields));
