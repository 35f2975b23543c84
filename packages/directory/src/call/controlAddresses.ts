/** Which control instance to ask. */

/** How long an address that failed is passed over, in milliseconds. */
const PENALTY_MS = 3_000;

/** What is known of an address. */
interface AddressRecord {
  dataCentre: string;
  /** Monotonic time of the last failure. */
  failedAt: number;
  /** Monotonic time since which an answer is waited for; undefined: nothing is open. */
  unansweredSince?: number;
  /** Random order among equals. */
  readonly tieBreak: number;
}

/**
 * The known addresses of control instances, those of the settings and those learnt since, in the order in
 * which to ask them: own data centre first, recently failed ones last, a stable random order otherwise, so
 * that a herd of processes spreads over the instances.
 */
export class ControlAddresses {
  private readonly records = new Map<string, AddressRecord>();
  private discovered = new Set<string>();

  /**
   * @param configured Addresses from the settings, host:port; they are never forgotten.
   * @param now Monotonic milliseconds.
   */
  constructor(
    private readonly configured: readonly string[],
    private readonly now: () => number,
    private readonly random: () => number = Math.random,
  ) {
    for (const address of configured) this.add(address, '');
  }

  /** Replaces the addresses learnt from documents and instances; `dataCentre` may be empty when not known. */
  setDiscovered(found: ReadonlyMap<string, string>): void {
    this.discovered = new Set(found.keys());
    for (const [address, dataCentre] of found) this.add(address, dataCentre);
    for (const address of this.records.keys()) {
      if (!this.discovered.has(address) && !this.configured.includes(address)) this.records.delete(address);
    }
  }

  /** Notes that a call to an address failed. */
  recordFailure(address: string): void {
    const record = this.records.get(address);
    if (record !== undefined) record.failedAt = this.now();
  }

  /** Notes that an address answered. */
  recordResponse(address: string): void {
    const record = this.records.get(address);
    if (record === undefined) return;
    record.failedAt = Number.NEGATIVE_INFINITY;
    record.unansweredSince = undefined;
  }

  /** Notes that something is asked of an address. */
  recordRequest(address: string): void {
    const record = this.records.get(address);
    if (record !== undefined) record.unansweredSince ??= this.now();
  }

  /** Milliseconds for which an address has been asked without any answer, whoever asked. */
  unansweredMs(address: string): number {
    const since = this.records.get(address)?.unansweredSince;
    return since === undefined ? 0 : this.now() - since;
  }

  /** Notes that its connection was cut, so that a new one begins with a clean record. */
  recordDisconnect(address: string): void {
    const record = this.records.get(address);
    if (record !== undefined) record.unansweredSince = undefined;
  }

  /** All addresses, best first. */
  order(dataCentre = ''): string[] {
    const rank = (address: string): [number, number, number] => {
      const record = this.records.get(address);
      if (record === undefined) return [0, 0, 0];
      const failing = this.now() - record.failedAt < PENALTY_MS;
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
