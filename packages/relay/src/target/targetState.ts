/** What this entry sees of targets: its own open requests, told load, and recent failures. */
import type { Clock } from '@jasmineroute/core';
import type { ToldLoad } from '../dialect/index.js';

/** Told load is worth nothing after this time, milliseconds: some requests of work. */
const LOAD_LASTS_MS = 2_000;

/** A target that failed is avoided for so long after each failure in a row, milliseconds, and at most. */
const AVOID_MS = 250;
const MOST_AVOID_MS = 4_000;

/**
 * A target with open requests that sends no byte for so long is taken to be lost, milliseconds. A busy engine sends an
 * event each 200 ms or so; a host that went dark resets nothing, and its heartbeats are missed only seconds later.
 */
export const QUIET_MS = 800;

/** Work told by another entry is believed for so long, milliseconds: it is told again twice as often. */
const WORK_LASTS_MS = 1_000;

/**
 * Weights of a new pause between events that is shorter, or longer, than the pause noted so far. The shorter counts ten
 * times as much, so that what is noted is near the pause without prompts being read in between: the speed of a target.
 */
const SHORTER_WEIGHT = 0.2;
const LONGER_WEIGHT = 0.02;

/** Pauses below this are of events that came together, milliseconds. */
const LEAST_PAUSE_MS = 5;

/** Pauses after which a target's speed is believed. */
const ENOUGH_PAUSES = 30;

/**
 * Time for one token that waits to be read, milliseconds, until some were measured, and the weight of a new measurement:
 * 110 tokens a ms, with the steps of running requests between and one prompt's pieces after another's.
 */
const FIRST_TOKEN_MS = 0.0125;
const TOKEN_WEIGHT = 0.1;

/** Fewer tokens that waited say nothing of the time for one. */
const MEASURED_TOKENS = 3_000;

/** A request that is open at a target. */
export interface OpenRequest {
  /** Its prompt has been read: the first event came. */
  read(): void;
  /** It is over. */
  ended(): void;
}

/** Tokens of prompts that wait at one target to be read, of one entry. */
export interface PromptWork {
  readonly targetId: string;
  readonly tokens: number;
}

/** What is seen of one target. */
export interface Sight {
  /** Requests of this entry that are open there. */
  open: number;
  /** Tokens of this entry's prompts that are not read yet. */
  tokens: number;
  /** Pause between two events while no prompts are read, milliseconds; and pauses that it is made from. */
  pauseMs: number;
  pauses: number;
  /** Time for one token that waits to be read, milliseconds. */
  tokenMs: number;
  /** Requests of others there, when the load was told. */
  others: number;
  /** Monotonic time at which the load was told; absent: never. */
  toldAt?: number;
  /** Monotonic time of the last byte from it, or of the first open request since it had none. */
  heardAt: number;
  failures: number;
  /** Monotonic time until which it is avoided. */
  avoidUntil: number;
}

/** Sights by target id. */
export class TargetSights {
  private readonly sights = new Map<string, Sight>();
  /** What other entries told of their work. */
  private readonly work = new Map<string, { readonly at: number; readonly byTarget: Map<string, number> }>();

  constructor(private readonly clock: Clock) {}

  /** What is seen of a target. */
  of(id: string): Sight {
    const known = this.sights.get(id);
    if (known !== undefined) return known;
    const made: Sight = {
      open: 0,
      tokens: 0,
      pauseMs: 0,
      pauses: 0,
      tokenMs: FIRST_TOKEN_MS,
      others: 0,
      heardAt: 0,
      failures: 0,
      avoidUntil: 0,
    };
    this.sights.set(id, made);
    return made;
  }

  /** Requests that a target probably has, from this entry and others. */
  requestsAt(id: string): number {
    const { open, others, toldAt } = this.of(id);
    if (toldAt === undefined) return open;
    const age = this.clock.monotonic() - toldAt;
    return open + others * Math.max(0, 1 - age / LOAD_LASTS_MS);
  }

  /** Age of the told load, milliseconds; undefined when none was told. */
  ageOf(id: string): number | undefined {
    const { toldAt } = this.of(id);
    return toldAt === undefined ? undefined : Math.round(this.clock.monotonic() - toldAt);
  }

  /** Whether a target failed a moment ago, or seems lost. */
  isAvoided(id: string): boolean {
    return this.clock.monotonic() < this.of(id).avoidUntil || this.isQuiet(id);
  }

  /** Whether a target has open requests and has sent nothing for too long. */
  isQuiet(id: string): boolean {
    const { open, heardAt } = this.of(id);
    return open > 0 && this.clock.monotonic() - heardAt > QUIET_MS;
  }

  /** A byte came from a target. */
  heard(id: string): void {
    this.of(id).heardAt = this.clock.monotonic();
  }

  /** A request goes out, with `tokens` of its prompt to be read. */
  began(id: string, tokens = 0): OpenRequest {
    const sight = this.of(id);
    if (sight.open === 0) sight.heardAt = this.clock.monotonic();
    sight.open += 1;
    const ahead = this.tokensAt(id) + tokens;
    const begunAt = this.clock.monotonic();
    sight.tokens += tokens;
    let unread = tokens;
    const forget = (): void => {
      sight.tokens -= unread;
      unread = 0;
    };
    const read = (): void => {
      if (unread === 0) return;
      forget();
      if (ahead < MEASURED_TOKENS) return;
      const tokenMs = (this.clock.monotonic() - begunAt) / ahead;
      sight.tokenMs += (tokenMs - sight.tokenMs) * TOKEN_WEIGHT;
    };
    const ended = (): void => {
      forget();
      sight.open -= 1;
    };
    return { read, ended };
  }

  /** Tokens of prompts that a target has to read yet, from this entry and others. */
  tokensAt(id: string): number {
    const now = this.clock.monotonic();
    let tokens = this.of(id).tokens;
    for (const { at, byTarget } of this.work.values()) {
      if (now - at < WORK_LASTS_MS) tokens += byTarget.get(id) ?? 0;
    }
    return tokens;
  }

  /** Time for one token that waits to be read at a target, milliseconds. */
  tokenMs(id: string): number {
    return this.of(id).tokenMs;
  }

  /** This entry's unread tokens at each target that has some. */
  ownWork(): PromptWork[] {
    return [...this.sights]
      .filter(([, { tokens }]) => tokens > 0)
      .map(([targetId, { tokens }]) => ({ targetId, tokens }));
  }

  /** Another entry told all of its unread tokens. */
  toldWork(entry: string, work: readonly PromptWork[]): void {
    const byTarget = new Map(work.map(({ targetId, tokens }) => [targetId, tokens]));
    this.work.set(entry, { at: this.clock.monotonic(), byTarget });
  }

  /** Two events of a stream came so long after each other. */
  paused(id: string, pauseMs: number): void {
    if (pauseMs < LEAST_PAUSE_MS) return;
    const sight = this.of(id);
    const weight = pauseMs < sight.pauseMs ? SHORTER_WEIGHT : LONGER_WEIGHT;
    sight.pauseMs += (pauseMs - sight.pauseMs) * (sight.pauses === 0 ? 1 : weight);
    sight.pauses += 1;
  }

  /** Pause between a target's events while it reads no prompts, milliseconds; undefined: too few were seen. */
  pauseOf(id: string): number | undefined {
    const { pauses, pauseMs } = this.of(id);
    return pauses < ENOUGH_PAUSES ? undefined : pauseMs;
  }

  /** A target told its load, which counts the answered request and this entry's others too. */
  told(id: string, load: ToldLoad): void {
    const sight = this.of(id);
    sight.others = Math.max(0, load.running + load.waiting - sight.open);
    sight.toldAt = this.clock.monotonic();
  }

  /** A target answered as it should. */
  succeeded(id: string): void {
    this.of(id).failures = 0;
  }

  /** A target could not be reached, or broke an answer off. Each failure in a row keeps it away longer. */
  failed(id: string): void {
    const sight = this.of(id);
    sight.failures += 1;
    const avoidMs = Math.min(MOST_AVOID_MS, AVOID_MS * 2 ** (sight.failures - 1));
    sight.avoidUntil = this.clock.monotonic() + avoidMs;
  }

  /** Forgets targets that are gone. */
  keep(ids: ReadonlySet<string>): void {
    for (const [id, { open }] of this.sights) if (!ids.has(id) && open === 0) this.sights.delete(id);
    const now = this.clock.monotonic();
    for (const [entry, { at }] of this.work) if (now - at >= WORK_LASTS_MS) this.work.delete(entry);
  }
}
