/** The daemon's command line. */
import { EXIT_USAGE, addOptions, readSettings, settingsOf } from '@jasmineroute/core';
import type { SettingsSchema } from '@jasmineroute/core';
import { Command } from 'commander';
import { openTls, run } from './life/index.js';
import { roles } from './role/index.js';
import { daemonSettings } from './setting/index.js';

/** Text written after a line break in `--help`. */
const HELP = `
Every setting is a flag and an environment variable; the flag wins.
Give --role with --help to see that role's settings too.

Examples:
  jasminerouted --role control --name control-1 --port 7001 --data-folder /var/lib/jasmineroute \\
    --replicas control-1=127.0.0.1:7001
  jasminerouted --role entry --name entry-1 --controls 127.0.0.1:7001
  jasminerouted --role agent --name agent-1 --controls 127.0.0.1:7001 \\
    --service lm-pool --target-url http://127.0.0.1:8000`;

const ROLE_FLAG = '--role';

/** The role that the arguments or the environment name, before the rest is parsed. */
function roleNamed(argv: readonly string[], environment: NodeJS.ProcessEnv): string | undefined {
  const inline = argv.find((argument) => argument.startsWith(`${ROLE_FLAG}=`));
  if (inline !== undefined) return inline.slice(ROLE_FLAG.length + 1);
  const at = argv.indexOf(ROLE_FLAG);
  return at === -1 ? environment.JASMINEROUTE_ROLE : argv[at + 1];
}

function refuse(line: string): never {
  process.stderr.write(`jasminerouted: ${line}\n`);
  process.exit(EXIT_USAGE);
}

function commandOf(schemas: readonly SettingsSchema[]): Command {
  const command = new Command('jasminerouted')
    .description('A process of jasmineroute: entry, agent or control')
    .addHelpText('after', HELP)
    .allowExcessArguments(false)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_USAGE));
  for (const schema of schemas) addOptions(command, schema);
  return command;
}

/** Parses the command line and runs the process. */
export async function main(argv: readonly string[], environment: NodeJS.ProcessEnv): Promise<void> {
  const named = roleNamed(argv, environment);
  const load = named === undefined ? undefined : roles.find(named);
  const role = await load?.();
  const schemas = role === undefined ? [daemonSettings] : [daemonSettings, role.settings];
  const flags = commandOf(schemas).parse(argv, { from: 'user' }).opts<Record<string, unknown>>();
  const daemon = readSettings(daemonSettings, flags, environment);
  if (daemon.isErr()) refuse(daemon.error);
  if (role === undefined) refuse(`no role "${daemon.value.role}"`);
  const roleSettings = readSettings(role.settings, flags, environment);
  if (roleSettings.isErr()) refuse(roleSettings.error);
  const tls = await openTls(daemon.value);
  if (tls.isErr()) refuse(tls.error);
  await run({ daemon: daemon.value, role, roleSettings: roleSettings.value, tls: tls.value });
}

/** Every setting of every role, for the docs. */
export async function allSettings(): Promise<{ role: string; settings: ReturnType<typeof settingsOf> }[]> {
  const lists = [{ role: 'every role', settings: settingsOf(daemonSettings) }];
  for (const name of roles.names()) {
    const role = await roles.get(name)();
    lists.push({ role: name, settings: settingsOf(role.settings) });
  }
  return lists;
}
