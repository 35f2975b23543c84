/** `diff`: what a document would change. */
import { diffDocuments, parseDocument } from '@jasmineroute/document';
import type { Difference, Document } from '@jasmineroute/document';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { connectionSettings } from '../setting/index.js';
import type { ConnectionSettings } from '../setting/index.js';
import type { ConnectedCommand, ConnectedContext } from './context.js';
import { report, reportFault } from './context.js';
import { fileLabel, readDocument } from './file.js';
import { fetchDocument } from './get.js';
import { formatProblems } from './problems.js';

export const diffCommand: ConnectedCommand<ConnectionSettings> = {
  name: 'diff',
  operands: '<file>',
  summary: 'Show what a document would change; exits with 1 when there is a difference',
  examples: ['jasminectl diff lm-pool.yaml', 'jasminectl get lm-pool --version 3 | jasminectl diff -'],
  settings: connectionSettings,
  run: diff,
};

async function diff(context: ConnectedContext<ConnectionSettings>): Promise<ExitCode> {
  const [file = ''] = context.operands;
  const read = await readDocument(context.terminal, file);
  if (read.isErr()) {
    reportFault(context, read.error);
    return exitCodes.usage;
  }
  const { parsed } = read.value;
  if (parsed.isErr()) {
    const problems = parsed.error;
    report(context, { problems }, formatProblems(fileLabel(file), problems));
    return exitCodes.usage;
  }
  return compareWithAccepted(context, parsed.value);
}

async function compareWithAccepted(
  context: ConnectedContext<ConnectionSettings>,
  after: Document,
): Promise<ExitCode> {
  const { service } = after;
  const response = await fetchDocument(context, service);
  if (response.isErr()) return reportFault(context, response.error);
  const accepted = response.value.document;
  const before = accepted === undefined ? undefined : parseDocument(accepted.text).unwrapOr(undefined);
  const differences = diffDocuments(before, after);
  const version = accepted?.version ?? 0n;
  report(context, { service, version, differences }, formatDifferences(service, version, differences));
  return differences.length === 0 ? exitCodes.ok : exitCodes.fault;
}

function formatDifferences(service: string, version: bigint, differences: readonly Difference[]): string {
  if (differences.length === 0) return '';
  const head = `${service}, against version ${version.toString()} (durations in milliseconds)\n`;
  return head + differences.map((difference) => `${formatDifference(difference)}\n`).join('');
}

function formatDifference({ path, before, after }: Difference): string {
  const label = path === '' ? 'document' : path;
  if (before === undefined) return `+ ${label}: ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${label}: ${JSON.stringify(before)}`;
  return `~ ${label}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}
