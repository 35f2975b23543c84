/** Connections that wait at a listener. The runtime accepts one in each turn of the event loop, so others wait for theirs. */
import type { Clock } from '../clock/index.js';

/** Wait of a connection that matters, milliseconds: as the delay that counts as a stall. */
const MIN_WAIT_MS = 100;

/** Connections that one listener accepted in consecutive turns of the event loop. */
export interface AcceptedSeries {
  readonly listener: string;
  readonly connections: number;
  /** From the first one to the turn in which none was left, milliseconds. */
  readonly ms: number;
}

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/**
 * Tells whether connections may be waiting at a listener. A turn that accepts none has found none, so a connection that is
 * accepted in a series of consecutive turns has waited no longer than since that series began.
 */
export class AcceptBacklog {
  private startedAt: number | undefined;
  private connections = 0;
  private hasAccepted = false;

  constructor(
    private readonly listener: string,
    private readonly clock: Clock,
    private readonly onEnd: (series: AcceptedSeries) => void,
  ) {}

  /** Whether connections are accepted in consecutive turns, so that more may wait. */
  get isWaiting(): boolean {
    return this.connections > 1;
  }

  /**
   * Records an accepted connection.
   * @returns the earliest monotonic time at which it may have arrived, if it may have waited for long behind others.
   */
  record(): number | undefined {
    const now = this.clock.monotonic();
    this.hasAccepted = true;
    this.connections += 1;
    const { startedAt } = this;
    if (startedAt !== undefined) return now - startedAt < MIN_WAIT_MS ? undefined : startedAt;
    this.startedAt = now;
    void this.watch(now);
    return undefined;
  }

  private async watch(startedAt: number): Promise<void> {
    // The first wait ends in the turn of the accepted connection, each later one behind the poll of the next turn.
    await nextTurn();
    while (this.hasAccepted) {
      this.hasAccepted = false;
      await nextTurn();
    }
    const { listener, connections } = this;
    this.startedAt = undefined;
    this.connections = 0;
    this.onEnd({ listener, connections, ms: this.clock.monotonic() - startedAt });
  }
}
