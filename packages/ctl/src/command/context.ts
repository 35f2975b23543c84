/** What every command is made of, and what it runs with. */
import type { Clock, Fault, SettingsSchema } from '@jasmineroute/core';
import type * as z from 'zod';
import type { DocumentControls, Vouched } from '../control/index.js';
import { exitCodeOf } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { formatJson } from '../format/index.js';
import type { ConnectionSettings, OutputSettings } from '../setting/index.js';
import type { Terminal } from '../terminal/index.js';

/** The surroundings of a run. */
export interface Surroundings {
  readonly terminal: Terminal;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
}

/** What a command runs with. */
export interface CommandContext<Settings> {
  readonly settings: Settings;
  readonly operands: readonly string[];
  readonly terminal: Terminal;
}

/** Connections to control instances come with the commands that talk to them. */
export interface ConnectedContext<Settings> extends CommandContext<Settings> {
  readonly controls: DocumentControls;
}

/** How a command is called. */
export interface CommandHelp {
  readonly name: string;
  /** Operands as commander writes them: "<file...>". */
  readonly operands: string;
  readonly summary: string;
  /** Lines of a shell. */
  readonly examples: readonly string[];
  readonly settings: SettingsSchema;
}

/** A command that works on its own. */
export interface LocalCommand<S extends SettingsSchema> extends CommandHelp {
  readonly settings: S;
  readonly run: (context: CommandContext<z.output<S>>) => Promise<ExitCode>;
}

/** A command that talks to control instances. */
export interface ConnectedCommand<Settings extends ConnectionSettings> extends CommandHelp {
  readonly settings: z.ZodObject & z.ZodType<Settings>;
  readonly run: (context: ConnectedContext<Settings>) => Promise<ExitCode>;
}

/** Writes a result in the asked form. */
export function report(
  { settings, terminal }: CommandContext<OutputSettings>,
  json: unknown,
  text: string,
): void {
  terminal.out(settings.output === 'json' ? formatJson(json) : text);
}

/** Writes a fault in the asked form and gives its exit code. */
export function reportFault(
  { settings, terminal }: CommandContext<OutputSettings>,
  failure: Fault,
): ExitCode {
  const { kind, message, ran } = failure;
  const json = { error: { kind, message, ran } };
  terminal.error(settings.output === 'json' ? formatJson(json) : `${kind}: ${message}\n`);
  return exitCodeOf(kind);
}

/** Warns that what follows may be out of date. */
export function warnUnlessVouched({ terminal }: CommandContext<OutputSettings>, answer: Vouched): void {
  if (answer.vouched) return;
  terminal.error('warning: no control instance in touch with a quorum answered; this may be out of date\n');
}
