/** What a link can do to the connections through it. */

/** Direction of bytes: from the connecting side, or back to it. */
export type Direction = 'up' | 'down';

/** Conditions that hold for all connections until changed. */
export interface LinkCondition {
  /** Added one-way delay, milliseconds. */
  readonly latencyMs: number;
  /** Limit of each direction of each connection, bytes a second; 0: none. */
  readonly bytesPerSecond: number;
  /** New connections: passed on, reset as soon as they are open, or accepted and left without a word. */
  readonly admission: 'open' | 'refuse' | 'silent';
}

/** A link that does nothing. */
export const clearCondition: LinkCondition = { latencyMs: 0, bytesPerSecond: 0, admission: 'open' };
