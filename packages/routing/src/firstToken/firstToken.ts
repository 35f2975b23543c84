/** How long after its sending a prompt's first token comes, learnt from those that came. */

/**
 * Until some were seen, milliseconds: the time without anything to read, and for each token that is to be read before the
 * first token, its own included. The first was measured on one deployment, the second lies between what two showed (7.5
 * and 12.5 ms for 1,000 tokens). They count as ten prompts, at both ends of what is usual, and are gone after 64 others.
 */
const FIRST_BASE_MS = 45;
const FIRST_TOKEN_MS = 0.01;
const FIRST_COUNT = 10;
const FIRST_TOKENS = 20_000;

/** Prompts that count. Chosen: some seconds of one entry's, which gets about fifteen a second under load. */
const MOST_SEEN = 64;

/** Bounds of the time for one token, milliseconds: engines that read 2,000 and 2 tokens a ms. */
const LEAST_TOKEN_MS = 0.000_5;
const MOST_TOKEN_MS = 0.5;

/**
 * Weight of a new prompt in a target's own factor, and the bounds of that factor: more is a fault, which other signs show.
 * Chosen: ten prompts or so show a slow target.
 */
const FACTOR_WEIGHT = 0.1;
const LEAST_FACTOR = 0.5;
const MOST_FACTOR = 3;

/** A first token that came. */
interface Seen {
  readonly tokens: number;
  readonly ms: number;
}

/** Time of a first token with nothing to be read, and for each token that is. */
interface Line {
  readonly baseMs: number;
  readonly tokenMs: number;
}

/**
 * The line that errs least in proportion to the time (least squares, each weighted by the inverse square of its time), so
 * that short prompts count as much as long ones, and one that hung for seconds counts next to nothing.
 */
function lineThrough(seen: readonly Seen[]): Line {
  let [weights, tokensSum, msSum, squares, products] = [0, 0, 0, 0, 0];
  for (const { tokens, ms } of seen) {
    const weight = 1 / ms ** 2;
    weights += weight;
    tokensSum += weight * tokens;
    msSum += weight * ms;
    squares += weight * tokens * tokens;
    products += weight * tokens * ms;
  }
  const spread = weights * squares - tokensSum * tokensSum;
  const slope = spread > 0 ? (weights * products - tokensSum * msSum) / spread : FIRST_TOKEN_MS;
  const tokenMs = Math.min(MOST_TOKEN_MS, Math.max(LEAST_TOKEN_MS, slope));
  return { baseMs: Math.max(1, (msSum - tokenMs * tokensSum) / weights), tokenMs };
}

/**
 * One line for all targets of a service, and a factor for each target. A part of the time does not depend on what there is
 * to read (the way, the engine's first step), so a time for each token alone is twice too long behind a queue and half too
 * short without one: measured 45 ms and 7.5 ms for 1,000 tokens, where the time divided by all tokens gave 15.5.
 */
export class FirstTokenModel {
  private readonly seen: Seen[] = [];
  private readonly factors = new Map<string, number>();
  private line: Line = { baseMs: FIRST_BASE_MS, tokenMs: FIRST_TOKEN_MS };

  constructor() {
    for (let n = 0; n < FIRST_COUNT; n += 1) {
      const tokens = n % 2 === 0 ? 0 : FIRST_TOKENS;
      this.seen.push({ tokens, ms: FIRST_BASE_MS + tokens * FIRST_TOKEN_MS });
    }
  }

  /** A first token came `ms` after its request was sent, with `tokens` to be read before it. */
  came(targetId: string, tokens: number, ms: number): void {
    const one = { tokens, ms: Math.max(1, ms) };
    this.learnFactor(targetId, one);
    this.seen.push(one);
    if (this.seen.length > MOST_SEEN) this.seen.shift();
    this.line = lineThrough(this.seen);
  }

  /** When the first token of a prompt comes, milliseconds after its sending, with `tokens` to be read before it. */
  predict(targetId: string, tokens: number): number {
    return this.usual(tokens) * this.factorOf(targetId);
  }

  /** Time for one token that is to be read at a target, milliseconds. */
  tokenMs(targetId: string): number {
    return this.line.tokenMs * this.factorOf(targetId);
  }

  /** Forgets targets that are gone. */
  keep(ids: ReadonlySet<string>): void {
    for (const id of this.factors.keys()) if (!ids.has(id)) this.factors.delete(id);
  }

  private learnFactor(targetId: string, { tokens, ms }: Seen): void {
    const before = this.factorOf(targetId);
    const factor = before + (Math.min(MOST_FACTOR, ms / this.usual(tokens)) - before) * FACTOR_WEIGHT;
    this.factors.set(targetId, Math.max(LEAST_FACTOR, factor));
  }

  private factorOf(targetId: string): number {
    return this.factors.get(targetId) ?? 1;
  }

  /** The time at a target that is as fast as most. */
  private usual(tokens: number): number {
    return this.line.baseMs + this.line.tokenMs * tokens;
  }
}
