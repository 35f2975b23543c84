/** `returns`: how control came back after each restart of all its instances, from the logs of the processes. */
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { formatTable } from '../format/index.js';
import { findReturns, parseLog } from '../returns/index.js';
import type { ControlReturn, LogLine, StepDown } from '../returns/index.js';
import { outputSettings } from '../setting/index.js';
import type { OutputSettings } from '../setting/index.js';
import type { CommandContext, LocalCommand } from './context.js';
import { report, reportFault } from './context.js';
import { readText } from './file.js';

export const returnsCommand: LocalCommand<typeof outputSettings> = {
  name: 'returns',
  operands: '<file...>',
  summary: 'Show how control came back after each restart of all its instances; reads logs of processes',
  examples: ['jasminectl returns logs/*.log', 'cat logs/*.log | jasminectl returns -'],
  settings: outputSettings,
  run: showReturns,
};

async function showReturns(context: CommandContext<OutputSettings>): Promise<ExitCode> {
  const lines: LogLine[] = [];
  for (const file of context.operands) {
    const text = await readText(context.terminal, file);
    if (text.isErr()) return reportFault(context, text.error);
    for (const line of parseLog(text.value)) lines.push(line);
  }
  const returns = findReturns(lines);
  report(context, { returns }, formatReturns(returns));
  return exitCodes.ok;
}

const HEAD = [
  'first start',
  'controls',
  'peak MB',
  'anonymous MB',
  'ended',
  'stall ms',
  'candidacies',
  'leaders',
  'quorum ms',
  'entry ms',
  'read ms',
  'streams before',
  'streams',
  'reads refused',
  'steps down',
];

const NONE = '-';

function formatReturns(returns: readonly ControlReturn[]): string {
  return formatTable(HEAD, returns.map(cells));
}

function formatStepDown({ name, term, reason, ledMs, nextMs }: StepDown): string {
  return `${name} of term ${term} after ${ledMs ?? NONE} ms (${reason}), next after ${nextMs ?? NONE} ms`;
}

const most = (peaks: Readonly<Record<string, number>>): number | string =>
  Object.keys(peaks).length === 0 ? NONE : Math.max(...Object.values(peaks));

function cells(one: ControlReturn): string[] {
  const refused = Object.entries(one.refused).map(([reason, count]) => `${count} ${reason}`);
  const candidacies = Object.entries(one.candidacies).map(([term, count]) => `${count} for ${term}`);
  const texts = [
    new Date(one.at).toISOString(),
    one.controls,
    most(one.peakMb),
    most(one.anonymousPeakMb),
    one.ended.length,
    one.stallMs,
    candidacies.join(', '),
    one.leaders,
    one.quorumMs ?? NONE,
    one.entryMs ?? NONE,
    one.readMs ?? NONE,
    one.openedBefore,
    one.opened,
    refused.join('; '),
    one.stepsDown.map(formatStepDown).join('; '),
  ];
  return texts.map(String);
}
