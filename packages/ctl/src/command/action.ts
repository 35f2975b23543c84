/** From the texts of a command line to a command's run. */
import { readSettings } from '@jasmineroute/core';
import type { SettingsSchema } from '@jasmineroute/core';
import { DocumentControls, openConnection } from '../control/index.js';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import type { ConnectionSettings } from '../setting/index.js';
import type { Terminal } from '../terminal/index.js';
import type { ConnectedCommand, LocalCommand, Surroundings } from './context.js';

/** Takes the flags and operands and runs the command. */
export type Action = (
  flags: Readonly<Record<string, unknown>>,
  operands: readonly string[],
) => Promise<ExitCode>;

/** The action of a command that works on its own. */
export function localAction<S extends SettingsSchema>(
  { settings: schema, run }: LocalCommand<S>,
  { terminal, environment }: Surroundings,
): Action {
  return async (flags, operands) => {
    const settings = readSettings(schema, flags, environment);
    if (settings.isErr()) return reportUsage(terminal, settings.error);
    return run({ settings: settings.value, operands, terminal });
  };
}

/** The action of a command that talks to control instances. Its connections are closed at the end. */
export function connectedAction<Settings extends ConnectionSettings>(
  { settings: schema, run }: ConnectedCommand<Settings>,
  { terminal, environment, clock }: Surroundings,
): Action {
  return async (flags, operands) => {
    const read = readSettings(schema, flags, environment);
    if (read.isErr()) return reportUsage(terminal, read.error);
    const settings = read.value;
    const connection = await openConnection(settings);
    if (connection.isErr()) return reportUsage(terminal, connection.error.message);
    const { peers } = connection.value;
    const controls = new DocumentControls({
      addresses: settings.controls,
      peers,
      clock,
      timeoutMs: settings.timeout,
    });
    try {
      return await run({ settings, operands, terminal, controls });
    } finally {
      connection.value.close();
    }
  };
}

function reportUsage(terminal: Terminal, message: string): ExitCode {
  terminal.error(`${message}\n`);
  return exitCodes.usage;
}
