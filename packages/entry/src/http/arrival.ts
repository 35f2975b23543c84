/** When a request arrived, as far as the process can know. */

/** Bounds of the arrival of a request, monotonic times. */
export interface Arrival {
  /** The request has not arrived before, though it may have waited since then: for a stall to end, or to be accepted. */
  readonly earliestAt: number;
  /** It was read at this time. */
  readonly readAt: number;
}
