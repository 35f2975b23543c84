/** Commands that run a stand-in until it is told to stop. */
import type { Command } from 'commander';
import type * as z from 'zod';
import { addOptions, EXIT_USAGE, readSettings } from '@jasmineroute/core';
import type { SettingsSchema } from '@jasmineroute/core';
import { engineSettings, startEngine } from './engine/index.js';
import { plainSettings, startPlain } from './plain/index.js';
import { printReady } from './ready/index.js';
import type { Listening } from './ready/index.js';
import { startStore, storeSettings } from './store/index.js';

interface Named {
  readonly name: string;
}

function addStandIn<S extends SettingsSchema>(
  program: Command,
  role: string,
  description: string,
  schema: S,
  start: (settings: z.output<S> & Named) => Promise<Listening>,
): void {
  const command = addOptions(program.command(role).description(description), schema);
  command.option('--print-ready', 'kept for scripts: the ready line is always printed');
  command.action(async (flags: Record<string, unknown>) => {
    const settings = readSettings(schema, flags, process.env);
    if (settings.isErr()) {
      process.stderr.write(`${settings.error}\n`);
      process.exitCode = EXIT_USAGE;
      return;
    }
    const named = settings.value as z.output<S> & Named;
    const listening = await start(named);
    printReady(role, named.name, listening);
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        void listening.close().then(() => process.exit(0));
      });
    }
  });
}

/** Adds `engine`, `plain` and `store`. */
export function addStandIns(program: Command): void {
  addStandIn(program, 'engine', 'serve as a model engine stand-in', engineSettings, startEngine);
  addStandIn(program, 'plain', 'serve as a plain service stand-in', plainSettings, startPlain);
  addStandIn(program, 'store', 'serve as weight store and store of kept KV cache', storeSettings, startStore);
}
