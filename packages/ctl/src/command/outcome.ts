/** Reports how a wish to apply went. */
import { fault, isFaultKind } from '@jasmineroute/core';
import { locateProblems } from '@jasmineroute/document';
import type { Problem } from '@jasmineroute/document';
import type { controlMessage } from '@jasmineroute/protocol';
import { exitCodeOf, exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { formatTime } from '../format/index.js';
import type { ApplySettings } from '../setting/index.js';
import type { ConnectedContext } from './context.js';
import { report, reportFault } from './context.js';
import { fileLabel } from './file.js';
import { formatProblems } from './problems.js';

type Context = ConnectedContext<ApplySettings>;

/** What control answered. */
export type Outcome = controlMessage.ApplyResponse['outcome'];

/** One wish to apply. It stays the same over all attempts. */
export interface Wish {
  readonly service: string;
  readonly text: string;
  readonly baseVersion: bigint;
  readonly applyId: string;
  readonly key: string;
  readonly operator: string;
}

/** Reports an answer and gives the exit code. */
export function reportOutcome(context: Context, wish: Wish, outcome: Outcome): ExitCode {
  switch (outcome.case) {
    case 'accepted':
      return reportAccepted(context, wish, outcome.value);
    case 'conflict':
      return reportConflict(context, wish, outcome.value);
    case 'rejected':
      return reportRejected(context, wish, outcome.value);
    default:
      return reportFault(context, fault('internal', 'the answer of the control instance has no outcome'));
  }
}

/** Reports faults in the document. */
export function reportProblems(context: Context, problems: readonly Problem[]): ExitCode {
  const [file = ''] = context.operands;
  const json = {
    outcome: 'rejected',
    kind: 'invalid-document',
    message: 'the document has faults',
    problems,
  };
  report(context, json, formatProblems(fileLabel(file), problems));
  return exitCodes.fault;
}

/** Reports a command that lacks something. */
export function reportUsage(context: Context, message: string): ExitCode {
  reportFault(context, fault('invalid-request', message));
  return exitCodes.usage;
}

function reportAccepted(context: Context, wish: Wish, accepted: controlMessage.Accepted): ExitCode {
  const { service, applyId, baseVersion } = wish;
  const { version, revision } = accepted;
  const text =
    `${service}: accepted as version ${version.toString()}, in place of ${baseVersion.toString()} ` +
    `(revision ${revision.toString()})\n`;
  report(context, { outcome: 'accepted', service, version, revision, baseVersion, applyId }, text);
  return exitCodes.ok;
}

function reportConflict(context: Context, wish: Wish, conflict: controlMessage.Conflict): ExitCode {
  const { service, baseVersion, applyId } = wish;
  const { version, operator } = conflict;
  const acceptedAt = formatTime(conflict.acceptedAtMs);
  const text =
    `${service}: conflict: version ${version.toString()} by ${operator} was accepted at ${acceptedAt}, ` +
    `this document is based on ${baseVersion.toString()}; look at it with jasminectl diff, then apply again\n`;
  report(
    context,
    { outcome: 'conflict', service, version, operator, acceptedAt, baseVersion, applyId },
    text,
  );
  return exitCodes.conflict;
}

function reportRejected(context: Context, wish: Wish, rejected: controlMessage.Rejected): ExitCode {
  const { kind, message } = rejected;
  const [file = ''] = context.operands;
  const found = rejected.problems.map(({ path, line, message: text }) => ({ path, line, message: text }));
  const problems = locateProblems(wish.text, found);
  const head = `${fileLabel(file)}: ${kind}: ${message}\n`;
  report(
    context,
    { outcome: 'rejected', kind, message, problems },
    head + formatProblems(fileLabel(file), problems),
  );
  return isFaultKind(kind) ? exitCodeOf(kind) : exitCodes.fault;
}
