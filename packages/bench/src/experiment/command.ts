/** `jasminebench experiment`. */
import type { Command } from 'commander';
import { addOptions, EXIT_USAGE, readSettings } from '@jasmineroute/core';
import { runExperiment } from './experiment.js';
import type { RunResult } from './result.js';
import { experimentSettings } from './settings.js';
import { formatResults } from './summary.js';

/** Flags that `--quick` stands for. */
const QUICK: Readonly<Record<string, string>> = {
  shapes: 'trust',
  loads: '80',
  faults: 'none',
  repeats: '1',
};

const announce = (result: RunResult, done: number, total: number): void => {
  const { shape, load, fault, policy, report } = result;
  const { p50, p99 } = report.firstTokenMs;
  process.stderr.write(
    `${done}/${total} ${shape} ${load}% ${fault} ${policy}: first token p50 ${p50 ?? '-'} p99 ${p99 ?? '-'} ms, ` +
      `hit ${report.hitRate ?? '-'} of ${report.oracleHitRate ?? '-'}, ${JSON.stringify(report.outcomes)}\n`,
  );
};

/** Adds the command. */
export function addExperiment(program: Command): void {
  const command = program
    .command('experiment')
    .description('compare policies over shapes, loads and faults, with real processes');
  addOptions(command, experimentSettings);
  command.option('--quick', 'trust, 80 in 100, no fault, one repeat, unless said otherwise');
  command.action(async (flags: Record<string, unknown>) => {
    const given = flags.quick === true ? { ...QUICK, ...flags } : flags;
    const settings = readSettings(experimentSettings, given, process.env);
    if (settings.isErr()) {
      process.stderr.write(`${settings.error}\n`);
      process.exitCode = EXIT_USAGE;
      return;
    }
    const file = await runExperiment(settings.value, process.argv.slice(2).join(' '), announce);
    process.stdout.write(`capacity, requests a second: ${JSON.stringify(file.capacities)}\n`);
    for (const failure of file.failures) process.stdout.write(`NOT RUN ${failure}\n`);
    if (file.failures.length > 0) process.exitCode = 1;
    process.stdout.write(`${formatResults(file.results)}\nsaved to ${settings.value.out}\n`);
  });
}
