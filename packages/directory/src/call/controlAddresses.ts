/** Orders the addresses of control instances for calls. */

/** Time for which a failed address is ranked last, in milliseconds. */
const FAILURE_PENALTY_MS = 3_000;

/** State of one address. */
interface AddressRecord {
  dataCentre: string;
  /** Monotonic time of the last failure. */
  failedAt: number;
  /** Monotonic time of the oldest request since the last answer; undefined if there is none. */
  unansweredSince?: number;
  /** Random order among addresses of equal rank. */
  readonly tieBreak: number;
}

/**
 * Configured and discovered addresses of control instances, in the order in which to call them: own data centre first,
 * recently failed ones last, otherwise in a stable random order that spreads processes over the instances.
 */
export class ControlAddresses {
  private readonly records = new Map<string, AddressRecord>();
  private discovered = new Set<string>();

  /**
   * @param configured Addresses from the settings, host:port; never removed.
   * @param now Monotonic milliseconds.
   */
  constructor(
    private readonly configured: readonly string[],
    private readonly now: () => number,
    private readonly random: () => number = Math.random,
  ) {
    for (const address of configured) this.add(address, '');
  }

  /** Replaces the addresses discovered in documents and instances, with their data centres (empty if unknown). */
  setDiscovered(found: ReadonlyMap<string, string>): void {
    this.discovered = new Set(found.keys());
    for (const [address, dataCentre] of found) this.add(address, dataCentre);
    for (const address of this.records.keys()) {
      if (!this.discovered.has(address) && !this.configured.includes(address)) this.records.delete(address);
    }
  }

  /** Records a failed call to an address. */
  recordFailure(address: string): void {
    const record = this.records.get(address);
    if (record !== undefined) record.failedAt = this.now();
  }

  /** Records an answer from an address. */
  recordResponse(address: string): void {
    const record = this.records.get(address);
    if (record === undefined) return;
    record.failedAt = Number.NEGATIVE_INFINITY;
    record.unansweredSince = undefined;
  }

  /** Records a request to an address. */
  recordRequest(address: string): void {
    const record = this.records.get(address);
    if (record !== undefined) record.unansweredSince ??= this.now();
  }

  /** Milliseconds for which requests to an address, from any caller, have had no answer. */
  unansweredMs(address: string): number {
    const since = this.records.get(address)?.unansweredSince;
    return since === undefined ? 0 : this.now() - since;
  }

  /** Records that the connection to an address was closed, so that the new one starts without unanswered requests. */
  recordDisconnect(address: string): void {
    const record = this.records.get(address);
    if (record !== undefined) record.unansweredSince = undefined;
  }

  /** All addresses in the order in which to call them. */
  order(dataCentre = ''): string[] {
    const rank = (address: string): [number, number, number] => {
      const record = this.records.get(address);
      if (record === undefined) return [0, 0, 0];
      const failing = this.now() - record.failedAt < FAILURE_PENALTY_MS;
      const near = record.dataCentre === '' || record.dataCentre === dataCentre;
      return [failing ? record.failedAt : Number.NEGATIVE_INFINITY, near ? 0 : 1, record.tieBreak];
    };
    return [...this.records.keys()]
      .map((address) => ({ address, rank: rank(address) }))
      .sort((a, b) => compare(a.rank, b.rank))
      .map(({ address }) => address);
  }

  private add(address: string, dataCentre: string): void {
    const known = this.records.get(address);
    if (known === undefined) {
      this.records.set(address, { dataCentre, failedAt: Number.NEGATIVE_INFINITY, tieBreak: this.random() });
      return;
    }
    if (dataCentre !== '') known.dataCentre = dataCentre;
  }
}

function compare(a: readonly number[], b: readonly number[]): number {
  for (const [position, value] of a.entries()) {
    const other = b[position] ?? 0;
    if (value !== other) return value < other ? -1 : 1;
  }
  return 0;
}
