/** `get`: prints an accepted document. */
import { fault } from '@jasmineroute/core';
import type { controlMessage } from '@jasmineroute/protocol';
import type { Fault } from '@jasmineroute/core';
import type { Result } from 'neverthrow';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { formatTime } from '../format/index.js';
import { getSettings } from '../setting/index.js';
import type { ConnectionSettings, GetSettings } from '../setting/index.js';
import type { ConnectedCommand, ConnectedContext } from './context.js';
import { report, reportFault, warnUnlessVouched } from './context.js';

export const getCommand: ConnectedCommand<GetSettings> = {
  name: 'get',
  operands: '[service]',
  summary: 'Print the accepted document of a service; without a service, the names of all',
  examples: ['jasminectl get lm-pool > lm-pool.yaml', 'jasminectl get lm-pool --version 3', 'jasminectl get'],
  settings: getSettings,
  run: get,
};

/** Asks for a version of a document; 0 is the newest. Warns when the answer may be out of date. */
export async function fetchDocument(
  context: ConnectedContext<ConnectionSettings>,
  service: string,
  version = 0n,
): Promise<Result<controlMessage.GetResponse, Fault>> {
  const response = await context.controls.readVouched((client, options) =>
    client.get({ service, version }, options),
  );
  return response.map((value) => {
    warnUnlessVouched(context, value);
    return value;
  });
}

async function get(context: ConnectedContext<GetSettings>): Promise<ExitCode> {
  const service = context.operands[0] ?? '';
  const response = await fetchDocument(context, service, context.settings.version);
  if (response.isErr()) return reportFault(context, response.error);
  if (service === '') return listServices(context, response.value.services);
  const { document } = response.value;
  if (document === undefined) return reportFault(context, missing(service, context.settings.version));
  report(context, { ...versionJson(document), text: document.text }, document.text);
  return exitCodes.ok;
}

function listServices(context: ConnectedContext<GetSettings>, services: readonly string[]): ExitCode {
  report(context, { services }, services.map((name) => `${name}\n`).join(''));
  return exitCodes.ok;
}

function missing(service: string, version?: bigint): Fault {
  const which = version === undefined ? 'document' : `version ${version.toString()}`;
  return fault('unknown-document', `${service} has no ${which}`);
}

/** A version without its text, for JSON output. */
export function versionJson(document: controlMessage.DocumentVersion): object {
  return {
    service: document.service,
    version: document.version,
    operator: document.operator,
    acceptedAt: formatTime(document.acceptedAtMs),
    revision: document.revision,
  };
}
