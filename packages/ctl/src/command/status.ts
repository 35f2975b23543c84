/** `status`: control instances, versions in force, targets and instances. */
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { connectionSettings } from '../setting/index.js';
import type { ConnectionSettings } from '../setting/index.js';
import type { ConnectedCommand, ConnectedContext } from './context.js';
import { report, reportFault, warnUnlessVouched } from './context.js';
import { formatStatus, statusJson } from './statusFormat.js';

export const statusCommand: ConnectedCommand<ConnectionSettings> = {
  name: 'status',
  operands: '',
  summary: 'Show control instances, the versions in force everywhere, targets and instances',
  examples: [
    'jasminectl status',
    "jasminectl status --output json | jq '.documents[] | select(.behind != [])'",
  ],
  settings: connectionSettings,
  run: status,
};

async function status(context: ConnectedContext<ConnectionSettings>): Promise<ExitCode> {
  const response = await context.controls.readVouched((client, options) => client.status({}, options));
  if (response.isErr()) return reportFault(context, response.error);
  warnUnlessVouched(context, response.value);
  report(context, statusJson(response.value), formatStatus(response.value));
  return exitCodes.ok;
}
