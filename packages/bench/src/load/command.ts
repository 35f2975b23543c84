/** `jasminebench load`. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import type { Command } from 'commander';
import { addOptions, EXIT_USAGE, readSettings } from '@jasmineroute/core';
import { shapes } from '../deployment/index.js';
import { replay } from '../oracle/index.js';
import { defaultWorkload, planWorkload } from '../workload/index.js';
import { drive } from './drive.js';
import { formatReport, reportOf } from './report.js';
import { loadSettings } from './settings.js';
import type { LoadSettings } from './settings.js';

async function runLoad(settings: LoadSettings): Promise<void> {
  const { urls, shape, cacheBlocks, warmUpMs, durationMs, out, ...workload } = settings;
  const plan = planWorkload(shapes[shape], { ...defaultWorkload, ...workload, durationMs });
  const oracle = replay(plan, cacheBlocks);
  const records = await drive(plan, { urls });
  const report = reportOf(records, oracle, warmUpMs, durationMs);
  process.stdout.write(`${formatReport(report)}\n`);
  if (out === '') return;
  mkdirSync(dirname(out), { recursive: true });
  writeFileSync(out, JSON.stringify({ settings, report, records }, null, 1));
}

/** Adds the command. */
export function addLoad(program: Command): void {
  const command = program.command('load').description('open-loop load on entries that run already');
  addOptions(command, loadSettings);
  command.action(async (flags: Record<string, unknown>) => {
    const settings = readSettings(loadSettings, flags, process.env);
    if (settings.isErr()) {
      process.stderr.write(`${settings.error}\n`);
      process.exitCode = EXIT_USAGE;
      return;
    }
    await runLoad(settings.value);
  });
}
