/** `apply`: has a document accepted. */
import { fault, isFaultKind, newId } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { operatorOf } from '@jasmineroute/document';
import type { Document } from '@jasmineroute/document';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { exitCodeOf, exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { applySettings } from '../setting/index.js';
import type { ApplySettings } from '../setting/index.js';
import { STANDARD_INPUT, redacting } from '../terminal/index.js';
import type { ConnectedCommand, ConnectedContext } from './context.js';
import { reportFault } from './context.js';
import { readDocument, readText } from './file.js';
import { fetchDocument } from './get.js';
import { reportOutcome, reportProblems, reportUsage } from './outcome.js';
import type { Outcome, Wish } from './outcome.js';

export const applyCommand: ConnectedCommand<ApplySettings> = {
  name: 'apply',
  operands: '<file>',
  summary: 'Have a document accepted; it is then in force everywhere within seconds',
  examples: [
    'jasminectl apply lm-pool.yaml --key-file ~/.jasmineroute/key',
    'jasminectl apply lm-pool.yaml --base-version 3   # only if 3 is still the newest',
    'sed s/latency/reuse/ lm-pool.yaml | jasminectl apply -',
  ],
  settings: applySettings,
  run: apply,
};

const KEY_SETTINGS = '--key-file (JASMINEROUTE_KEY_FILE) and --key (JASMINEROUTE_KEY)';

type Context = ConnectedContext<ApplySettings>;

async function apply(context: Context): Promise<ExitCode> {
  const [file = ''] = context.operands;
  const read = await readDocument(context.terminal, file);
  if (read.isErr()) return reportFault(context, read.error);
  const { parsed, text } = read.value;
  if (parsed.isErr()) return reportProblems(context, parsed.error);
  const key = await readKey(context);
  if (key.isErr()) return reportUsage(context, key.error);
  const safe = { ...context, terminal: redacting(context.terminal, key.value) };
  const operator = context.settings.operator ?? operatorOf(parsed.value, key.value);
  if (operator === undefined) {
    return reportUsage(context, 'the key is of no operator in the document: say who applies with --operator');
  }
  return applyWish(safe, parsed.value, { text, key: key.value, operator });
}

async function applyWish(
  context: Context,
  { service }: Document,
  given: Pick<Wish, 'text' | 'key' | 'operator'>,
): Promise<ExitCode> {
  const base = await baseVersion(context, service);
  if (base.isErr()) return reportFault(context, base.error);
  const applyId = context.settings.applyId ?? newId('apply');
  const wish = { ...given, service, baseVersion: base.value, applyId };
  const outcome = await send(context, wish);
  return outcome.match(
    (value) => reportOutcome(context, wish, value),
    (failure) => reportFault(context, withAdvice(failure, wish)),
  );
}

/** The operator's key, from the one place that is named. */
async function readKey({ settings, terminal, operands }: Context): Promise<Result<string, string>> {
  const { key, keyFile } = settings;
  if (key !== undefined && keyFile !== undefined) return err(`two keys: set one of ${KEY_SETTINGS}`);
  if (keyFile === STANDARD_INPUT && operands.includes(STANDARD_INPUT)) {
    return err('standard input can be the document or the key, not both');
  }
  const text = keyFile === undefined ? ok(key ?? '') : await readText(terminal, keyFile);
  return text
    .mapErr((failure) => failure.message)
    .andThen((content) =>
      content.trim() === '' ? err(`no key: set one of ${KEY_SETTINGS}`) : ok(content.trim()),
    );
}

async function baseVersion(context: Context, service: string): Promise<Result<bigint, Fault>> {
  const stated = context.settings.baseVersion;
  if (stated !== undefined) return ok(stated);
  const response = await fetchDocument(context, service);
  return response.map(({ document }) => document?.version ?? 0n);
}

/**
 * Sends until an instance answers. An answer can be lost after the document was accepted; without the apply
 * id, the resend would then meet its own version and be told of a conflict.
 */
async function send({ controls }: Context, wish: Wish): Promise<Result<Outcome, Fault>> {
  return controls.call(async (client, options) => {
    const { outcome } = await client.apply(wish, options);
    if (outcome.case !== 'rejected') return ok(outcome);
    const { kind, message } = outcome.value;
    const passing = isFaultKind(kind) && exitCodeOf(kind) === exitCodes.unreachable;
    return passing ? err(fault(kind, message)) : ok(outcome);
  });
}

function withAdvice(failure: Fault, { baseVersion: base, applyId }: Wish): Fault {
  if (failure.ran === 'not-run') return failure;
  const advice =
    'the document may have been accepted; to learn it, repeat the command with ' +
    `--base-version ${base.toString()} --apply-id ${applyId}`;
  return { ...failure, message: `${failure.message}; ${advice}` };
}
