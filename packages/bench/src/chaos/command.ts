/** `jasminebench chaos`. */
import type { Command } from 'commander';
import { addOptions, EXIT_USAGE, readSettings } from '@jasmineroute/core';
import { formatChaos } from './report.js';
import { runChaos } from './run.js';
import { chaosSettings } from './settings.js';

const EXIT_VIOLATED = 1;

/** Adds the command. */
export function addChaos(program: Command): void {
  const command = program
    .command('chaos')
    .description('break processes and links under load, and check every promise to callers');
  addOptions(command, chaosSettings);
  command.action(async (flags: Record<string, unknown>) => {
    const settings = readSettings(chaosSettings, flags, process.env);
    if (settings.isErr()) {
      process.stderr.write(`${settings.error}\n`);
      process.exitCode = EXIT_USAGE;
      return;
    }
    const report = await runChaos(settings.value);
    process.stdout.write(`${formatChaos(report)}\nsaved to ${settings.value.out}\n`);
    const broken = Object.values(report.violations).some((count) => count > 0);
    if (broken) process.exitCode = EXIT_VIOLATED;
  });
}
