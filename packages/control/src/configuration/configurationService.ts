/** Operators' calls for numbered configurations and model weights. */
import { refusalsOf, warningsOf } from '@jasmineroute/configuration';
import type { Configuration } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Log } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { controlEvents } from '../events.js';
import type { Proposer } from '../log/index.js';
import type { ConfigurationState } from './configurationState.js';
import { encodeNames, encodeSharing, namesOf } from './sharing.js';

/** The newest configuration, as the operator sent it. */
export interface SentConfiguration {
  readonly number: number;
  readonly source: Uint8Array;
}

/** Result of an accepted configuration. */
export interface ConfigurationOutcome {
  /** Number of the configuration held afterwards. */
  readonly number: number;
  /** False when a higher or equal number was held already; nothing changed then. */
  readonly stored: boolean;
  /** What the configuration names that can't be used, as messages for the operator. */
  readonly warnings: readonly string[];
}

const encoder = new TextEncoder();

/** Numbered configurations over the replicated log. A quorum confirms each answer. */
export class ConfigurationService {
  constructor(
    private readonly state: ConfigurationState,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /**
   * Replaces the configuration. Errors: invalid-document; no-quorum, storage-failed, overloaded, after which the caller may
   * resend. What is held already is never refused: an older build may have accepted it.
   */
  async put(configuration: Configuration, source: Uint8Array): Promise<Result<ConfigurationOutcome, Fault>> {
    const startedAt = this.clock.monotonic();
    const known = Number(this.state.held().number);
    // A quorum has confirmed the held configuration, and its number only rises: a resend needs no log entry.
    if (known > 0 && known >= configuration.number)
      return this.accepted(configuration, known, false, startedAt);
    const refusals = refusalsOf(configuration);
    if (refusals.length > 0) return err(fault('invalid-document', refusals.join('; ')));
    const content = encoder.encode(JSON.stringify(configuration));
    const number = BigInt(configuration.number);
    const held = this.state.sharing();
    const customers = encodeNames(namesOf(configuration.customers));
    const sharing = held && encodeSharing(held);
    const outcome = await this.proposer.propose('configure', { number, content, source, customers, sharing });
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
    const { number: heldNumber, stored } = outcome.value;
    return this.accepted(configuration, Number(heldNumber), stored, startedAt);
  }

  /**
   * The newest configuration, read from the leader after a quorum has confirmed its leadership; undefined when there is
   * none. Errors: as for `put`.
   */
  async read(): Promise<Result<SentConfiguration | undefined, Fault>> {
    const startedAt = this.clock.monotonic();
    const outcome = await this.proposer.query('readConfiguration', {});
    const tookMs = Math.round(this.clock.monotonic() - startedAt);
    outcome.match(
      ({ number }) => {
        this.log.event(controlEvents.configurationRead, { number: Number(number), tookMs });
      },
      ({ kind, message }) => {
        this.log.event(controlEvents.configurationReadFailed, { kind, message, tookMs });
      },
    );
    return outcome.map(({ number, source }) =>
      number === 0n ? undefined : { number: Number(number), source },
    );
  }

  /** Names a new version of a model's weights; returns the newest named version. */
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
    configuration: Configuration,
    held: number,
    stored: boolean,
    startedAt: number,
  ): Result<ConfigurationOutcome, Fault> {
    const tookMs = Math.round(this.clock.monotonic() - startedAt);
    const { number } = configuration;
    this.log.event(controlEvents.configurationAccepted, { number, held, stored, tookMs });
    const warnings = warningsOf(configuration);
    if (warnings.length > 0) this.log.event(controlEvents.configurationWarned, { number, warnings });
    return ok({ number: held, stored, warnings });
  }
}
