/** A minimal protocol for tests, with its own header names, so that the tests depend on no platform. */
import type { IncomingMessage } from 'node:http';
import { headerOf } from '@jasmineroute/engine';
import { ok } from 'neverthrow';
import { PackedFields } from '../dialect/index.js';
import type { Dialect, RelayRequest } from '../dialect/index.js';

const firstOf = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const numberOf = (value: string | string[] | undefined): number | undefined =>
  value === undefined ? undefined : Number(firstOf(value));

function promptOf({ headers }: IncomingMessage): RelayRequest['prompt'] {
  const parts = firstOf(headers['t-prompt']);
  if (parts === undefined) return undefined;
  return {
    model: 'm',
    parts: parts.split(',').map((id) => ({ id, tokens: 10 })),
    promptTokens: 10,
    maxOutputTokens: numberOf(headers['t-output']) ?? 1,
  };
}

/** The test protocol. */
export const testDialect: Dialect = {
  readRequest: (incoming) =>
    ok({
      id: firstOf(incoming.headers['t-id']) ?? '',
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      host: incoming.headers.host ?? '',
      deadlineMs: numberOf(incoming.headers['t-deadline']),
      key: firstOf(incoming.headers['t-key']),
      prompt: promptOf(incoming),
      lastEventId: firstOf(incoming.headers['t-last']),
      resumes: firstOf(incoming.headers['t-resumes']),
      fields: new PackedFields(['t-id', firstOf(incoming.headers['t-id']) ?? '']),
    }),
  targetHeaders: (request, addedFields) => [
    ...request.fields.unpack(),
    't-target',
    addedFields.targetName,
    't-deadline',
    String(addedFields.deadlineMs),
    't-customer',
    addedFields.customer ?? '',
    't-salt',
    addedFields.cacheSalt ?? '',
    't-version',
    String(addedFields.weightsVersion ?? ''),
    't-after',
    addedFields.lastEventId ?? '',
    't-source',
    addedFields.cacheSource ?? '',
    't-copy',
    addedFields.cacheCopy ?? '',
  ],
  readAnswer: (_status, headers) => ({
    requestId: headerOf(headers, 't-id'),
    notRun: headerOf(headers, 't-not-run') !== undefined,
    signed: headerOf(headers, 't-signed') !== undefined,
    otherTargetName: headerOf(headers, 't-target'),
  }),
  callerHeaders: (headers) => headers.filter(({ name }) => name.startsWith('t-')),
  localAnswer: (status, { kind, ran, retryAfterMs }, requestId) => ({
    status,
    headers: [
      { name: 't-id', value: requestId ?? '' },
      { name: 't-ran', value: ran },
      { name: 'retry-after', value: String((retryAfterMs ?? 0) / 1_000) },
    ],
    body: Buffer.from(kind),
  }),
};
