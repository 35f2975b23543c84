/** What the log drives. */

/**
 * A deterministic state machine: the same commands in the same order give the same state and results on every
 * replica. Time, random numbers and other outside input belong into the command.
 */
export interface StateMachine {
  /** Runs a command; the result goes to whoever proposed it. Must not throw. */
  apply(index: bigint, command: Uint8Array): Uint8Array;
  /** Answers a command that changes nothing, from the state as it is. Must not throw. Without it there are no queries. */
  query?(command: Uint8Array): Uint8Array;
  /** The whole state. */
  snapshot(): Uint8Array;
  /** Replaces the whole state. */
  restore(data: Uint8Array): void;
}
