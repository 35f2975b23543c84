#!/usr/bin/env node
/** The `jasminebench` command. */
import { Command } from 'commander';
import { addStandIns } from './standInCommands.js';

const program = new Command('jasminebench')
  .description('stand-ins, load, experiments and chaos for jasmineroute')
  .showHelpAfterError();

addStandIns(program);

await program.parseAsync();
