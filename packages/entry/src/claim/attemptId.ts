/** Ids of attempts, which tell whose they are. */

/** The process that started an attempt, and for which request. */
export interface AttemptOrigin {
  /** Name of the entry. */
  readonly entry: string;
  /** Incarnation of the entry's process. */
  readonly incarnation: bigint;
  readonly requestId: string;
}

/** Occurs in none of the parts. */
const SEPARATOR = '~';

/** Makes attempt ids that no other process and no other attempt of this one uses. */
export class AttemptIds {
  private count = 0;

  constructor(
    private readonly entry: string,
    private readonly incarnation: bigint,
  ) {}

  next(requestId: string): string {
    this.count += 1;
    return [this.entry, this.incarnation, this.count.toString(36), requestId].join(SEPARATOR);
  }
}

/** Reads an attempt id; undefined for one that no entry made. */
export function parseAttemptId(attemptId: string): AttemptOrigin | undefined {
  const [entry, incarnation, , requestId, ...rest] = attemptId.split(SEPARATOR);
  if (entry === undefined || requestId === undefined || rest.length > 0) return undefined;
  if (incarnation === undefined || !/^\d+$/.test(incarnation)) return undefined;
  return { entry, incarnation: BigInt(incarnation), requestId };
}

/** Where an attempt was sent, as a claim notes it. */
export interface ClaimHolder {
  /** Name of the agent's instance. */
  readonly agent: string;
  /** The target's incarnation. */
  readonly incarnation: string;
}

/** Writes a holder into a claim. */
export function encodeHolder({ agent, incarnation }: ClaimHolder): string {
  return agent + SEPARATOR + incarnation;
}

/** Reads what `holderText` wrote. */
export function decodeHolder(text: string): ClaimHolder {
  const at = text.indexOf(SEPARATOR);
  if (at === -1) return { agent: text, incarnation: '' };
  return { agent: text.slice(0, at), incarnation: text.slice(at + 1) };
}
