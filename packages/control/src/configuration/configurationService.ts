/** What operators do with numbered configurations and weights. */
import type { Configuration } from '@jasmineroute/configuration';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { controlEvents } from '../events.js';
import type { Proposer } from '../log/index.js';
import type { ConfigurationState } from './configurationState.js';

/** The newest configuration as an operator sent it. */
export interface SentConfiguration {
  readonly number: number;
  readonly source: Uint8Array;
}

/** What an accepted configuration led to. */
export interface ConfigurationOutcome {
  /** Number held afterwards. */
  readonly number: number;
  /** False: a higher or equal number was held already, and nothing changed. */
  readonly stored: boolean;
}

const encoder = new TextEncoder();

/** Numbered configurations over the replicated log. Every answer is one of a quorum. */
export class ConfigurationService {
  constructor(
    private readonly state: ConfigurationState,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Replaces the configuration. Errors: no-quorum, storage-failed, overloaded: send it again. */
  async put(configuration: Configuration, source: Uint8Array): Promise<Result<ConfigurationOutcome, Fault>> {
    const begunAt = this.clock.monotonic();
    const known = Number(this.state.held().number);
    // What is held was confirmed by a quorum, and numbers only rise: a resend needs no place in the log.
    if (known >= configuration.number) return this.accepted(configuration.number, known, false, begunAt);
    const content = encoder.encode(JSON.stringify(configuration));
    const number = BigInt(configuration.number);
    const outcome = await this.proposer.propose('configure', { number, content, source });
    if (outcome.isErr()) {
      const { kind, ran, message } = outcome.error;
      this.log.event(controlEvents.configurationUnknown, {
        number: configuration.number,
        kind,
        ran,
        message,
      });
      return err(outcome.error);
    }
    const { number: held, stored } = outcome.value;
    return this.accepted(configuration.number, Number(held), stored, begunAt);
  }

  /** The newest configuration, as the leader holds it once a quorum has confirmed it; undefined when there is none. Errors: as for `put`. */
  async read(): Promise<Result<SentConfiguration | undefined, Fault>> {
    const begunAt = this.clock.monotonic();
    const outcome = await this.proposer.query('readConfiguration', {});
    const tookMs = Math.round(this.clock.monotonic() - begunAt);
    outcome.match(
      ({ number }) => {
        this.log.event(controlEvents.configurationRead, { number: Number(number), tookMs });
      },
      ({ kind, message }) => {
        this.log.event(controlEvents.configurationUnread, { kind, message, tookMs });
      },
    );
    return outcome.map(({ number, source }) =>
      number === 0n ? undefined : { number: Number(number), source },
    );
  }

  /** Names new weights of a model. */
  async nameWeights(model: string, version: number): Promise<Result<number, Fault>> {
    const outcome = await this.proposer.propose('nameWeights', {
      weights: { model, version: BigInt(version) },
    });
    const held = outcome.map((value) => Number(value.version));
    this.log.event(controlEvents.weightsNamed, {
      model,
      version,
      held: held.unwrapOr(0),
      failed: held.isErr() ? held.error.kind : undefined,
    });
    return held;
  }

  private accepted(
    number: number,
    held: number,
    stored: boolean,
    begunAt: number,
  ): Result<ConfigurationOutcome, Fault> {
    const tookMs = Math.round(this.clock.monotonic() - begunAt);
    this.log.event(controlEvents.configurationAccepted, { number, held, stored, tookMs });
    return ok({ number: held, stored });
  }
}
