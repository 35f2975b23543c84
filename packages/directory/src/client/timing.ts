/** Intervals and timeouts of the client, in milliseconds. */
export interface ClientTiming {
  /** Interval between heartbeats. */
  readonly beatMs: number;
  /** Timeout of a heartbeat, after which the next control instance is tried. */
  readonly beatTimeoutMs: number;
  /** Time without an event after which a watch is ended. Sources send an event at least every second. */
  readonly silenceMs: number;
  /** Time without a quorum after which the client leaves a control instance; longer than an election takes. */
  readonly unvouchedMs: number;
  /** Maximum delay between attempts while no source answers. */
  readonly retryMs: number;
  /** How long a neighbour is watched before control instances are tried again. */
  readonly neighbourMs: number;
  /** How long `leave` waits for an acknowledgement. */
  readonly leaveMs: number;
}

/** Matches control instances that send a keep-alive event every second. */
export const defaultTiming: ClientTiming = {
  beatMs: 1_000,
  beatTimeoutMs: 800,
  silenceMs: 2_500,
  unvouchedMs: 1_000,
  retryMs: 5_000,
  neighbourMs: 5_000,
  leaveMs: 2_000,
};

/** Varies a duration uniformly by up to `share` in both directions, so that processes that started together spread. */
export function jittered(ms: number, share: number, random: () => number = Math.random): number {
  return ms * (1 - share + 2 * share * random());
}
