/** Times of the client, in milliseconds. */
export interface ClientTiming {
  /** Between beats. */
  readonly beatMs: number;
  /** How long a beat may take before the next instance is tried. */
  readonly beatTimeoutMs: number;
  /** A watch that is silent for longer is given up; heartbeats come every second. */
  readonly silenceMs: number;
  /** A control instance that is out of touch with its quorum for longer is left; elections are shorter. */
  readonly unvouchedMs: number;
  /** Longest wait between tries while nothing answers. */
  readonly retryMs: number;
  /** How long a neighbour is watched before control instances are tried again. */
  readonly neighbourMs: number;
  /** How long `leave` waits to be heard. */
  readonly leaveMs: number;
}

/** Fits control instances that send a heartbeat each second. */
export const defaultTiming: ClientTiming = {
  beatMs: 1_000,
  beatTimeoutMs: 800,
  silenceMs: 2_500,
  unvouchedMs: 1_000,
  retryMs: 5_000,
  neighbourMs: 5_000,
  leaveMs: 2_000,
};

/** Spreads a time evenly by a share to both sides, so that processes that started together drift apart. */
export function jittered(ms: number, share: number, random: () => number = Math.random): number {
  return ms * (1 - share + 2 * share * random());
}
