/** Selects the source from which a target fetches the shared parts of a prompt that it lacks. */

/** A cache that has shared parts of a prompt. */
export interface Holder {
  /** host:port. */
  readonly address: string;
  /** Leading tokens of the shared parts that it has. */
  readonly tokens: number;
}

/** The caches that have shared parts of one prompt, for one target. */
export interface PartHolders {
  /** Leading tokens of the shared parts that the target itself has. */
  readonly localTokens: number;
  /** Other targets with some of the parts, the nearest first. */
  readonly neighbours: readonly Holder[];
  /** The store, if one is reachable. Parts that no report mentions count as stored. */
  readonly store?: Holder & { readonly isBusy: boolean };
}

/** The cache that a target fetches from. */
export interface Source {
  /** host:port. */
  readonly address: string;
  /** Tokens that the fetch saves the target from reading. */
  readonly tokens: number;
  /** Whether it is the store, whose single link is shared by all targets. */
  readonly isStore: boolean;
}

/** The neighbour with the most tokens; the nearest of equals. */
function fullestOf(neighbours: readonly Holder[]): Holder | undefined {
  return neighbours.reduce<Holder | undefined>(
    (fullest, one) => (one.tokens > (fullest?.tokens ?? 0) ? one : fullest),
    undefined,
  );
}

/**
 * The source that saves the target the most reading; undefined if there is none. A target waits for its fetch before
 * it reads, and all targets share the store's link. A neighbour that has as much is therefore preferred to the store,
 * and a store with a busy link is not used: after a loss of all caches targets would wait longer for it than the read
 * takes. A store with a free link is used even for parts that are not reported as stored: a miss costs little, and
 * recent copies are not reported yet.
 */
export function sourceOf({ localTokens: here, neighbours, store }: PartHolders): Source | undefined {
  const neighbour = fullestOf(neighbours);
  const neighbourTokens = neighbour?.tokens ?? 0;
  const freeStore = store === undefined || store.isBusy ? undefined : store;
  if (neighbour !== undefined && neighbourTokens > here && neighbourTokens >= (freeStore?.tokens ?? 0)) {
    return { address: neighbour.address, tokens: neighbourTokens - here, isStore: false };
  }
  return (
    freeStore && { address: freeStore.address, tokens: Math.max(0, freeStore.tokens - here), isStore: true }
  );
}
