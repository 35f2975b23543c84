/** The interface of a feature: one part of the replicated state with the commands that change it. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { stateMessage } from '@jasmineroute/protocol';

/** Log time, milliseconds: it advances only by `advance` commands, never by a clock. */
export type LogTime = number;

type CommandUnion = stateMessage.Command['command'];

/** Name of a command in the log. */
export type CommandCase = NonNullable<CommandUnion['case']>;

/** Message of a command. */
export type CommandValue<C extends CommandCase> = Extract<CommandUnion, { case: C }>['value'];

/** Outcome of a command. */
export type OutcomeValue = NonNullable<MessageInitShape<typeof stateMessage.OutcomeSchema>['outcome']>;

/**
 * Applies one command at log time `now`. Must be deterministic, so that the same commands give the same state on
 * every replica: it reads no clock, no random number and nothing outside the state.
 */
export type CommandHandler<C extends CommandCase> = (value: CommandValue<C>, now: LogTime) => OutcomeValue;

/** Handlers by command. */
export type CommandHandlers = { readonly [C in CommandCase]?: CommandHandler<C> };

/** A part of the replicated state. */
export interface Feature {
  readonly handlers: CommandHandlers;
  /** Called when the log time has advanced to `now`. */
  advanceTo(now: LogTime): void;
  /** Whether anything in this part expires, so that the log time has to advance. */
  hasPendingExpiry(): boolean;
  /** This part, encoded. */
  snapshot(): Uint8Array;
  /** Replaces this part; `now` is the log time of the snapshot. */
  restore(data: Uint8Array, now: LogTime): void;
}
