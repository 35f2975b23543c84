/** `jasminebench latency`. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import type { Command } from 'commander';
import { addOptions, EXIT_USAGE, readSettings } from '@jasmineroute/core';
import { freshFolder } from '../folder/index.js';
import type { Quantiles } from '../load/index.js';
import { formatTable } from '../table/index.js';
import { measureAdded } from './added.js';
import type { AddedLatency } from './added.js';
import { latencySettings } from './settings.js';
import { measureStreams } from './stream.js';
import type { StreamCost } from './stream.js';

const quantileRow = (name: string, { count, p50, p95, p99, p999 }: Quantiles): string[] =>
  [name, count, p50, p95, p99, p999].map(String);

function formatLatency(added: AddedLatency, streams: StreamCost): string {
  const times = formatTable(
    ['first token', 'count', 'p50 ms', 'p95 ms', 'p99 ms', 'p99.9 ms'],
    [quantileRow('direct', added.direct), quantileRow('routed', added.routed)],
  );
  const cost = Object.entries(streams).map(([name, value]) => [name, String(value)]);
  return [
    times,
    `added: p50 ${added.addedP50Ms} ms, p99 ${added.addedP99Ms} ms; incomplete ${added.incomplete}`,
    '',
    formatTable(['streams', ''], cost),
  ].join('\n');
}

/** Adds the command. */
export function addLatency(program: Command): void {
  const command = program
    .command('latency')
    .description("the router's own cost: added latency, processor time of a chunk, memory of a stream");
  addOptions(command, latencySettings);
  command.action(async (flags: Record<string, unknown>) => {
    const read = readSettings(latencySettings, flags, process.env);
    if (read.isErr()) {
      process.stderr.write(`${read.error}\n`);
      process.exitCode = EXIT_USAGE;
      return;
    }
    const settings = read.value;
    const folder = freshFolder(settings.folder, 'jasminelatency');
    const added = await measureAdded(settings, folder);
    const streams = await measureStreams(settings, folder);
    mkdirSync(dirname(settings.out), { recursive: true });
    writeFileSync(settings.out, JSON.stringify({ settings, added, streams }, null, 1));
    process.stdout.write(`${formatLatency(added, streams)}\nsaved to ${settings.out}\n`);
  });
}
