/** Predicts the time to first token from measurements of earlier prompts. */

/**
 * Initial fit, milliseconds: the base time without any prefill, and the time for each token to prefill before the first
 * token, including queued ones. Two deployments took 7.5 and 12.5 ms for 1,000 tokens. The initial values enter as ten
 * samples at both ends of the usual range, and drop out after 64 measurements.
 */
const INITIAL_BASE_MS = 45;
const INITIAL_TOKEN_MS = 0.01;
const INITIAL_SAMPLES = 10;
const INITIAL_SAMPLE_TOKENS = 20_000;

/** Samples kept: a few seconds of prompts at one entry, which gets about 15 per second under load. */
const MAX_SAMPLES = 64;

/** Bounds of the prefill time per token, milliseconds: 2,000 and 2 tokens per ms. */
const MIN_TOKEN_MS = 0.000_5;
const MAX_TOKEN_MS = 0.5;

/**
 * Weight of a new prompt in the factor of its target, so that about ten prompts reveal a slow target, and the bounds of
 * the factor. Larger factors indicate a failure, which is detected by other means.
 */
const FACTOR_WEIGHT = 0.1;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 3;

/** Measured time to first token. */
interface Sample {
  /** Tokens to prefill before the first token. */
  readonly tokens: number;
  readonly ms: number;
}

/** Time to first token without any prefill, and prefill time per token. */
interface LinearFit {
  readonly baseMs: number;
  readonly tokenMs: number;
}

/**
 * Least-squares fit of the relative error: each sample is weighted by the inverse square of its time, so that short
 * prompts count as much as long ones, and one that took many seconds hardly counts.
 */
function weightedFit(samples: readonly Sample[]): LinearFit {
  let [weights, tokensSum, msSum, squares, products] = [0, 0, 0, 0, 0];
  for (const { tokens, ms } of samples) {
    const weight = 1 / ms ** 2;
    weights += weight;
    tokensSum += weight * tokens;
    msSum += weight * ms;
    squares += weight * tokens * tokens;
    products += weight * tokens * ms;
  }
  const spread = weights * squares - tokensSum * tokensSum;
  const slope = spread > 0 ? (weights * products - tokensSum * msSum) / spread : INITIAL_TOKEN_MS;
  const tokenMs = Math.min(MAX_TOKEN_MS, Math.max(MIN_TOKEN_MS, slope));
  return { baseMs: Math.max(1, (msSum - tokenMs * tokensSum) / weights), tokenMs };
}

/**
 * One linear fit for all targets of a service, and a factor for each target. Part of the time does not depend on the
 * tokens to prefill (network, first step of the engine). A time per token alone would be twice too long behind a queue
 * and too short by half without one: where the fit gave 45 ms plus 7.5 ms per 1,000 tokens, it gave 15.5 ms.
 */
export class FirstTokenModel {
  private readonly samples: Sample[] = [];
  private readonly factors = new Map<string, number>();
  private line: LinearFit = { baseMs: INITIAL_BASE_MS, tokenMs: INITIAL_TOKEN_MS };

  constructor() {
    for (let n = 0; n < INITIAL_SAMPLES; n += 1) {
      const tokens = n % 2 === 0 ? 0 : INITIAL_SAMPLE_TOKENS;
      this.samples.push({ tokens, ms: INITIAL_BASE_MS + tokens * INITIAL_TOKEN_MS });
    }
  }

  /** Records a first token that arrived `ms` after its request was sent, with `tokens` to prefill before it. */
  record(targetId: string, tokens: number, ms: number): void {
    const sample = { tokens, ms: Math.max(1, ms) };
    this.updateFactor(targetId, sample);
    this.samples.push(sample);
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
    this.line = weightedFit(this.samples);
  }

  /** Expected milliseconds from sending a prompt to its first token, with `tokens` to prefill before it. */
  predict(targetId: string, tokens: number): number {
    return this.typicalMs(tokens) * this.factorOf(targetId);
  }

  /** Prefill time per token at a target, milliseconds. */
  tokenMs(targetId: string): number {
    return this.line.tokenMs * this.factorOf(targetId);
  }

  /** Removes targets that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.factors.keys()) if (!ids.has(id)) this.factors.delete(id);
  }

  private updateFactor(targetId: string, { tokens, ms }: Sample): void {
    const before = this.factorOf(targetId);
    const factor = before + (Math.min(MAX_FACTOR, ms / this.typicalMs(tokens)) - before) * FACTOR_WEIGHT;
    this.factors.set(targetId, Math.max(MIN_FACTOR, factor));
  }

  private factorOf(targetId: string): number {
    return this.factors.get(targetId) ?? 1;
  }

  /** Expected time at a target with factor 1, milliseconds. */
  private typicalMs(tokens: number): number {
    return this.line.baseMs + this.line.tokenMs * tokens;
  }
}
