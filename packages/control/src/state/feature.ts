/** What a feature of the replicated state looks like, so that new ones plug in beside the others. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { stateMessage } from '@jasmineroute/protocol';

/** Milliseconds of the state's own time: it moves only by commands, never by a clock. */
export type LogTime = number;

type CommandUnion = stateMessage.Command['command'];

/** Name of a command in the log. */
export type CommandCase = NonNullable<CommandUnion['case']>;

/** Message of a command. */
export type CommandValue<C extends CommandCase> = Extract<CommandUnion, { case: C }>['value'];

/** What a command led to. */
export type OutcomeValue = NonNullable<MessageInitShape<typeof stateMessage.OutcomeSchema>['outcome']>;

/**
 * Applies one command. Must be deterministic: the same commands give the same state on every replica, so it
 * reads neither clocks nor random numbers nor anything outside the state.
 */
export type CommandHandler<C extends CommandCase> = (value: CommandValue<C>, now: LogTime) => OutcomeValue;

/** Handlers by command. */
export type CommandHandlers = { readonly [C in CommandCase]?: CommandHandler<C> };

/** A part of the replicated state. */
export interface Feature {
  readonly handlers: CommandHandlers;
  /** The state's time has moved to `now`. */
  advanced(now: LogTime): void;
  /** Whether something waits for the state's time to move. */
  expectsTime(): boolean;
  /** The whole part as bytes. */
  snapshot(): Uint8Array;
  /** Replaces the part; `now` is the state's time in the snapshot. */
  restore(data: Uint8Array, now: LogTime): void;
}
