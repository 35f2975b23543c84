/** Puts the commands together under one name. */
import { addOptions } from '@jasmineroute/core';
import { Command, CommanderError } from 'commander';
import { EXIT_CODE_HELP, exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { redacting } from '../terminal/index.js';
import { connectedAction, localAction } from './action.js';
import type { Action } from './action.js';
import { applyCommand } from './apply.js';
import { checkCommand } from './check.js';
import type { CommandHelp, Surroundings } from './context.js';
import { diffCommand } from './diff.js';
import { getCommand } from './get.js';
import { hashKeyCommand } from './hashKey.js';
import { historyCommand } from './history.js';
import { quarantineCommand, releaseCommand } from './quarantine.js';
import { returnsCommand } from './returns.js';
import { statusCommand } from './status.js';
import { VERSION } from './version.js';

const DESCRIPTION = `Checks and applies the documents of services, and shows what is in force.

Settings are flags or environment variables, named in brackets; flags go first. "-" stands for standard \
input where a file is asked for. The operator's key is never printed.`;

/**
 * Runs a command line.
 * @param words operands and flags, without the names of the interpreter and of the script
 */
export async function runCommandLine(words: readonly string[], given: Surroundings): Promise<ExitCode> {
  const surroundings = protectKey(words, given);
  let exitCode: ExitCode = exitCodes.ok;
  const program = createProgram(surroundings, (code) => {
    exitCode = code;
  });
  try {
    await program.parseAsync(words, { from: 'user' });
    return exitCode;
  } catch (error) {
    // Help and the version end by an error too, with code 0.
    if (error instanceof CommanderError) return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
    surroundings.terminal.error(`internal: ${error instanceof Error ? error.message : String(error)}\n`);
    return exitCodes.fault;
  }
}

/** Hides a key that is given in the clear, also from faults that quote the command line. */
function protectKey(words: readonly string[], surroundings: Surroundings): Surroundings {
  const flag = words.indexOf('--key');
  const joined = words.find((word) => word.startsWith('--key='))?.slice('--key='.length);
  const keys = [flag < 0 ? undefined : words[flag + 1], joined, surroundings.environment.JASMINEROUTE_KEY];
  const terminal = keys
    .map((key) => key?.trim() ?? '')
    .filter((key) => key !== '')
    .reduce(redacting, surroundings.terminal);
  return { ...surroundings, terminal };
}

function createProgram(surroundings: Surroundings, finish: (code: ExitCode) => void): Command {
  const { terminal } = surroundings;
  const program = new Command('jasminectl')
    .description(DESCRIPTION)
    .version(VERSION)
    .enablePositionalOptions()
    .exitOverride()
    .configureOutput({
      writeOut: (text) => {
        terminal.out(text);
      },
      writeErr: (text) => {
        terminal.error(text);
      },
    })
    .addHelpText('after', `\n${EXIT_CODE_HELP}`);
  const add = (help: CommandHelp, action: Action): void => {
    const command = describeCommand(program, help);
    command.action(async () => {
      finish(await action(command.opts(), command.args));
    });
  };
  add(checkCommand, localAction(checkCommand, surroundings));
  add(diffCommand, connectedAction(diffCommand, surroundings));
  add(applyCommand, connectedAction(applyCommand, surroundings));
  add(getCommand, connectedAction(getCommand, surroundings));
  add(historyCommand, connectedAction(historyCommand, surroundings));
  add(statusCommand, connectedAction(statusCommand, surroundings));
  add(quarantineCommand, connectedAction(quarantineCommand, surroundings));
  add(releaseCommand, connectedAction(releaseCommand, surroundings));
  add(returnsCommand, localAction(returnsCommand, surroundings));
  add(hashKeyCommand, localAction(hashKeyCommand, surroundings));
  return program;
}

function describeCommand(program: Command, help: CommandHelp): Command {
  const examples = help.examples.map((line) => `  ${line}`).join('\n');
  const command = program
    .command(`${help.name} ${help.operands}`.trim())
    .description(help.summary)
    .addHelpText('after', `\nExamples:\n${examples}\n\n${EXIT_CODE_HELP}`);
  return addOptions(command, help.settings);
}
