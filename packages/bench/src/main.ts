#!/usr/bin/env node
/** The `jasminebench` command. */
import { Command } from 'commander';
import { addChaos } from './chaos/index.js';
import { addExperiment } from './experiment/index.js';
import { addLatency } from './latency/index.js';
import { addLoad } from './load/index.js';
import { addPlot } from './plot/index.js';
import { addStandIns } from './standInCommands.js';

const program = new Command('jasminebench')
  .description('stand-ins, load, experiments and chaos for jasmineroute')
  .showHelpAfterError();

addStandIns(program);
addChaos(program);
addExperiment(program);
addLoad(program);
addLatency(program);
addPlot(program);

try {
  await program.parseAsync();
} catch (error) {
  process.stderr.write(`jasminebench: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
}
