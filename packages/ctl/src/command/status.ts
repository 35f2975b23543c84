/** `status`: control instances, versions in force, targets and instances. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { controlMessage } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Controls } from '../control/index.js';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { connectionSettings } from '../setting/index.js';
import type { ConnectionSettings } from '../setting/index.js';
import type { ConnectedCommand, ConnectedContext } from './context.js';
import { report, reportFault } from './context.js';
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
  const response = await fetchStatus(context.controls);
  if (response.isErr()) return reportFault(context, response.error);
  const { value } = response;
  if (!value.vouched) {
    context.terminal.error(
      'warning: the control instance is not in touch with a quorum; this may be out of date\n',
    );
  }
  report(context, statusJson(value), formatStatus(value));
  return exitCodes.ok;
}

/**
 * The status from an instance in touch with a quorum, or from any when there is none: one that is cut off
 * doesn't notice at once, and what it shows is the past.
 */
async function fetchStatus(controls: Controls): Promise<Result<controlMessage.StatusResponse, Fault>> {
  let stale: controlMessage.StatusResponse | undefined;
  const vouched = await controls.call<controlMessage.StatusResponse>(async (client, options) => {
    const response = await client.status({}, options);
    if (response.vouched) return ok(response);
    stale = response;
    return err(fault('no-quorum', 'not in touch with a quorum'));
  });
  return stale === undefined
    ? vouched
    : vouched.orElse((failure) => (stale === undefined ? err(failure) : ok(stale)));
}
