/** `history`: the accepted versions of a document. */
import { fault } from '@jasmineroute/core';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { formatTable, formatTime } from '../format/index.js';
import { connectionSettings } from '../setting/index.js';
import type { ConnectionSettings } from '../setting/index.js';
import type { ConnectedCommand, ConnectedContext } from './context.js';
import { report, reportFault } from './context.js';
import { versionJson } from './get.js';

export const historyCommand: ConnectedCommand<ConnectionSettings> = {
  name: 'history',
  operands: '<service>',
  summary: 'List the accepted versions of a document, newest first',
  examples: ['jasminectl history lm-pool', 'jasminectl history lm-pool --output json'],
  settings: connectionSettings,
  run: history,
};

async function history(context: ConnectedContext<ConnectionSettings>): Promise<ExitCode> {
  const service = context.operands[0] ?? '';
  const response = await context.controls.read((client, options) => client.history({ service }, options));
  if (response.isErr()) return reportFault(context, response.error);
  const { versions } = response.value;
  if (versions.length === 0)
    return reportFault(context, fault('unknown-document', `${service} has no document`));
  const rows = versions.map((version) => [
    version.version.toString(),
    formatTime(version.acceptedAtMs),
    version.operator,
    version.revision.toString(),
  ]);
  const text = formatTable(['VERSION', 'ACCEPTED', 'OPERATOR', 'REVISION'], rows);
  report(context, { service, versions: versions.map(versionJson) }, text);
  return exitCodes.ok;
}
