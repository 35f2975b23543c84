/** Exit codes. */
import type { FaultKind } from '@jasmineroute/core';

/** Exit codes by meaning. */
export const exitCodes = { ok: 0, fault: 1, usage: 2, conflict: 3, unreachable: 4 } as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Meanings for the help text. */
export const EXIT_CODE_HELP = `Exit codes:
  0  done; for diff: no difference
  1  a fault in the document or a refusal; for diff: there is a difference
  2  wrong usage or settings; for diff also a document that can't be compared
  3  conflict: another version was accepted since the base version
  4  no control instance answered that can speak for a quorum`;

/** Kinds whose code is not the general one. */
const codeOfKind: Readonly<Partial<Record<FaultKind, ExitCode>>> = {
  'version-conflict': exitCodes.conflict,
  'no-quorum': exitCodes.unreachable,
  'not-leader': exitCodes.unreachable,
  'storage-failed': exitCodes.unreachable,
  stopping: exitCodes.unreachable,
  'target-unreachable': exitCodes.unreachable,
  'target-lost': exitCodes.unreachable,
  'deadline-exceeded': exitCodes.unreachable,
};

/** The exit code for a kind of fault. */
export function exitCodeOf(kind: FaultKind): ExitCode {
  return codeOfKind[kind] ?? exitCodes.fault;
}
