/** `quarantine` and `release`: requests and prompt parts that crashed targets. */
import { fault } from '@jasmineroute/core';
import { fingerprintText } from '@jasmineroute/protocol';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { formatTable } from '../format/index.js';
import { connectionSettings } from '../setting/index.js';
import type { ConnectionSettings } from '../setting/index.js';
import type { ConnectedCommand, ConnectedContext } from './context.js';
import { report, reportFault } from './context.js';

/** Maximum number of requests and parts that are listed: all that a control instance holds. */
const MAX_LISTED = 2_000;

const FINGERPRINT = /^[0-9a-f]{32}$/;

export const quarantineCommand: ConnectedCommand<ConnectionSettings> = {
  name: 'quarantine',
  operands: '',
  summary:
    'List requests and prompt parts that were running at targets when these crashed, with the verdicts on them',
  examples: ['jasminectl quarantine', 'jasminectl quarantine --output json'],
  settings: connectionSettings,
  run: list,
};

export const releaseCommand: ConnectedCommand<ConnectionSettings> = {
  name: 'release',
  operands: '<request>',
  summary:
    'Hold a request or prompt part responsible for none of the crashes so far, so that it is sent to targets again',
  examples: ['jasminectl release 5e02f42380845430fff1a9b45f592af7'],
  settings: connectionSettings,
  run: release,
};

async function list(context: ConnectedContext<ConnectionSettings>): Promise<ExitCode> {
  const response = await context.controls.configurations((client, options) =>
    client.listQuarantine({ limit: MAX_LISTED }, options),
  );
  if (response.isErr()) return reportFault(context, response.error);
  const requests = response.value.entries.map(({ evidence, verdict }) => ({
    request: fingerprintText(evidence?.request ?? new Uint8Array()),
    part: evidence?.part ?? '',
    verdict,
    customer: evidence?.customer ?? '',
    service: evidence?.service ?? '',
    crashed: evidence?.crashed ?? [],
    cleared: evidence?.cleared ?? [],
    sent: evidence?.sent ?? [],
  }));
  const rows = requests.map(({ request, part, verdict, customer, service, crashed }) => [
    request,
    part,
    verdict,
    customer,
    service,
    crashed.join(),
  ]);
  report(
    context,
    { requests },
    formatTable(['REQUEST', 'PART', 'VERDICT', 'CUSTOMER', 'SERVICE', 'CRASHED'], rows),
  );
  return exitCodes.ok;
}

async function release(context: ConnectedContext<ConnectionSettings>): Promise<ExitCode> {
  const text = context.operands[0] ?? '';
  if (!FINGERPRINT.test(text))
    return reportFault(
      context,
      fault('invalid-request', `${text} is no fingerprint as \`quarantine\` lists it`),
    );
  const request = Buffer.from(text, 'hex');
  const response = await context.controls.configurations((client, options) =>
    client.releaseQuarantined({ request }, options),
  );
  if (response.isErr()) return reportFault(context, response.error);
  if (!response.value.known)
    return reportFault(context, fault('invalid-request', `${text} crashed no target`));
  report(context, { released: text }, `${text}: released\n`);
  return exitCodes.ok;
}
