/** Interface of the state machine that the log drives. */

/**
 * A deterministic state machine: the same commands in the same order give the same state and results on every
 * replica. Time, random numbers and other external input must be part of the command.
 */
export interface StateMachine {
  /** Applies a command and returns the result for its proposer. Must not throw. */
  apply(index: bigint, command: Uint8Array): Uint8Array;
  /** Answers a read-only command from the current state. Must not throw. Queries are not supported without it. */
  query?(command: Uint8Array): Uint8Array;
  /** Serializes the complete state. */
  snapshot(): Uint8Array;
  /** Replaces the complete state by a snapshot. */
  restore(data: Uint8Array): void;
}
