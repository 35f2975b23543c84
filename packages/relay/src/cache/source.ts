/** Where a target fetches the shared parts of a prompt from that it lacks. */

/** Who has shared parts of a prompt. */
export interface Holder {
  /** host:port. */
  readonly address: string;
  /** Tokens of the shared parts that it has, from the first one on. */
  readonly tokens: number;
}

/** Who has what of one prompt, as seen from one target. */
export interface Holders {
  /** Tokens of the shared parts that the target itself has, from the first one on. */
  readonly here: number;
  /** Other targets that have some, the nearest first. */
  readonly neighbours: readonly Holder[];
  /** The store, if there is one that answers; what nobody tells of it, it is taken to have. */
  readonly store?: Holder & { readonly isBusy: boolean };
}

/** Where a target fetches from. */
export interface Source {
  /** host:port. */
  readonly address: string;
  /** Tokens that it brings. */
  readonly tokens: number;
  /** It is the store, whose one link all targets share. */
  readonly isStore: boolean;
}

/** The neighbour that has most; of equals the nearest. */
function bestOf(neighbours: readonly Holder[]): Holder | undefined {
  return neighbours.reduce<Holder | undefined>(
    (best, one) => (one.tokens > (best?.tokens ?? 0) ? one : best),
    undefined,
  );
}

/**
 * The source that spares the target most reading; undefined: none. A target waits for what it fetches before it reads, and
 * a store has one link for all. So a neighbour that has as much goes before the store, and a store whose link is busy is
 * not named: after a loss of all caches targets would wait longer for it than they need to read. A store whose link is free
 * is named also for what nobody knows it to have: a miss costs little, and what was just copied is not told yet.
 */
export function sourceOf({ here, neighbours, store }: Holders): Source | undefined {
  const neighbour = bestOf(neighbours);
  const near = neighbour?.tokens ?? 0;
  const free = store === undefined || store.isBusy ? undefined : store;
  if (neighbour !== undefined && near > here && near >= (free?.tokens ?? 0)) {
    return { address: neighbour.address, tokens: near - here, isStore: false };
  }
  return free && { address: free.address, tokens: Math.max(0, free.tokens - here), isStore: true };
}
