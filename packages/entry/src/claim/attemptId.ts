/** Attempt ids, which name the process that made them. */

/** The process that started an attempt, and the request it belongs to. */
export interface AttemptOrigin {
  /** Name of the entry. */
  readonly entry: string;
  /** Incarnation of the entry's process. */
  readonly incarnation: bigint;
  readonly requestId: string;
}

/** Separates the parts of an id; occurs in none of them. */
const SEPARATOR = '~';

/** Generates attempt ids that are unique across processes. */
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

/** Parses an attempt id; undefined if it is not one of an entry. */
export function parseAttemptId(attemptId: string): AttemptOrigin | undefined {
  const [entry, incarnation, , requestId, ...rest] = attemptId.split(SEPARATOR);
  if (entry === undefined || requestId === undefined || rest.length > 0) return undefined;
  if (incarnation === undefined || !/^\d+$/.test(incarnation)) return undefined;
  return { entry, incarnation: BigInt(incarnation), requestId };
}

/** Where an attempt was sent, as recorded in its claim. */
export interface ClaimHolder {
  /** Name of the agent's instance. */
  readonly agent: string;
  /** The target's incarnation. */
  readonly incarnation: string;
}

/** Encodes a holder for a claim. */
export function encodeHolder({ agent, incarnation }: ClaimHolder): string {
  return agent + SEPARATOR + incarnation;
}

/** Decodes what `encodeHolder` returned. */
export function decodeHolder(text: string): ClaimHolder {
  const at = text.indexOf(SEPARATOR);
  if (at === -1) return { agent: text, incarnation: '' };
  return { agent: text.slice(0, at), incarnation: text.slice(at + 1) };
}
