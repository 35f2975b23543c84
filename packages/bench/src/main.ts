#!/usr/bin/env node
/** The `jasminebench` command. */
import { Command } from 'commander';

type Addition = (program: Command) => void;

const standIns = async (): Promise<Addition> => (await import('./standInCommands.js')).addStandIns;

/** Commands by name. A stand-in loads nothing of the others: many of them run at once. */
const additions: Readonly<Record<string, () => Promise<Addition>>> = {
  engine: standIns,
  chaos: async () => (await import('./chaos/index.js')).addChaos,
  experiment: async () => (await import('./experiment/index.js')).addExperiment,
  load: async () => (await import('./load/index.js')).addLoad,
  latency: async () => (await import('./latency/index.js')).addLatency,
  plot: async () => (await import('./plot/index.js')).addPlot,
};

/** Names that share a loader with another. */
const aliases: Readonly<Record<string, string>> = { plain: 'engine', store: 'engine' };

const program = new Command('jasminebench')
  .description('stand-ins, load, experiments and chaos for jasmineroute')
  .showHelpAfterError();

const asked = process.argv[2] ?? '';
const only = additions[aliases[asked] ?? asked];
const wanted = only === undefined ? Object.values(additions) : [only];
for (const load of wanted) (await load())(program);

try {
  await program.parseAsync();
} catch (error) {
  process.stderr.write(`jasminebench: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
}
