/** What this entry sees of targets: its own open requests, told load, and recent failures. */
import type { Clock } from '@jasmineroute/core';
import { FirstTokenModel } from '@jasmineroute/routing';
import { Backlog } from './backlog.js';
import { Pace } from './pace.js';
import type { ToldLoad } from '../dialect/index.js';

/** Told load is worth nothing after this time, milliseconds: some requests of work. */
const LOAD_LASTS_MS = 2_000;

/** A target that failed is avoided for so long after each failure in a row, milliseconds, and at most. */
const AVOID_MS = 250;
const MOST_AVOID_MS = 4_000;

/** A target that refused is avoided for so long after each such time in a row, milliseconds, and at most: weights load in 1 to 2 s. */
const REFUSED_MS = 250;
const MOST_REFUSED_MS = 1_000;

/**
 * A target with open requests that sends no byte for so long is taken to be lost, milliseconds. A busy engine sends an
 * event each 200 ms or so; a host that went dark resets nothing, and its heartbeats are missed only seconds later.
 */
export const QUIET_MS = 800;

/** What a request fetches from a store of kept cache before its prompt is read. */
export interface Fetch {
  /** host:port. */
  readonly store: string;
  readonly tokens: number;
}

/** A request that is open at a target. */
export interface OpenRequest {
  /** Its prompt has been read: the first event came. */
  read(): void;
  /** It is over. */
  ended(): void;
}

/** What is seen of one target. */
export interface Sight {
  /** Requests of this entry that are open there. */
  open: number;
  /** Requests of others there, when the load was told. */
  others: number;
  /** Monotonic time at which the load was told; absent: never. */
  toldAt?: number;
  /** Monotonic time of the last byte from it, or of the first open request since it had none. */
  heardAt: number;
  failures: number;
  /** Times in a row that it was avoided as it had refused. */
  refusals: number;
  /** Monotonic time until which it is avoided. */
  avoidUntil: number;
}

/** Sights by target id. */
export class TargetSights {
  private readonly sights = new Map<string, Sight>();
  /** Prompts that wait there. */
  readonly backlog: Backlog;
  /** When their first tokens come, by service. */
  private readonly models = new Map<string, FirstTokenModel>();
  /** How fast they make tokens. */
  readonly pace = new Pace();

  constructor(private readonly clock: Clock) {
    this.backlog = new Backlog(clock);
  }

  /** What is seen of a target. */
  of(id: string): Sight {
    const known = this.sights.get(id);
    if (known !== undefined) return known;
    const made: Sight = { open: 0, others: 0, heardAt: 0, failures: 0, refusals: 0, avoidUntil: 0 };
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

  /** When the first tokens of a service's targets come. */
  firstTokens(service: string): FirstTokenModel {
    const known = this.models.get(service) ?? new FirstTokenModel();
    this.models.set(service, known);
    return known;
  }

  /** A request of a service goes out, with `tokens` of its prompt to be read, and some to be fetched first. */
  began(id: string, tokens = 0, fetch?: Fetch, service = ''): OpenRequest {
    const sight = this.of(id);
    if (sight.open === 0) sight.heardAt = this.clock.monotonic();
    sight.open += 1;
    const begunAt = this.clock.monotonic();
    const ahead = this.backlog.tokensAt(id) + tokens;
    // The wait for a store says nothing of the time to read.
    const isRead = fetch === undefined || fetch.tokens === 0;
    const learn = (): void => {
      this.firstTokens(service).came(id, ahead, this.clock.monotonic() - begunAt);
    };
    const prompt = this.backlog.began(id, tokens, isRead ? learn : undefined);
    const fetched = fetch === undefined ? undefined : this.backlog.began(fetch.store, fetch.tokens);
    const read = (): void => {
      prompt.read();
      fetched?.forget();
    };
    const ended = (): void => {
      prompt.forget();
      fetched?.forget();
      sight.open -= 1;
    };
    return { read, ended };
  }

  /** A target told its load, which counts the answered request and this entry's others too. */
  told(id: string, load: ToldLoad): void {
    const sight = this.of(id);
    sight.others = Math.max(0, load.running + load.waiting - sight.open);
    sight.toldAt = this.clock.monotonic();
  }

  /** A target answered as it should. */
  succeeded(id: string): void {
    const sight = this.of(id);
    sight.failures = 0;
    sight.refusals = 0;
  }

  /**
   * A target stated that it did not run a request. One that loads weights without our knowledge, or has others than we
   * know, refuses all at once, so it seems to have no work and draws all requests. Requests under way together count once.
   */
  refused(id: string): void {
    const sight = this.of(id);
    const now = this.clock.monotonic();
    if (now < sight.avoidUntil) return;
    sight.avoidUntil = now + Math.min(MOST_REFUSED_MS, REFUSED_MS * 2 ** sight.refusals);
    sight.refusals += 1;
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
    this.backlog.keep();
    for (const model of this.models.values()) model.keep(ids);
    this.pace.keep(ids);
  }
}
