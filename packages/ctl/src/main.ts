#!/usr/bin/env node
/** The command-line tool. */
import { systemClock } from '@jasmineroute/core';
import { runCommandLine } from './command/index.js';
import { processTerminal } from './terminal/index.js';

process.exitCode = await runCommandLine(process.argv.slice(2), {
  terminal: processTerminal,
  environment: process.env,
  clock: systemClock,
});
