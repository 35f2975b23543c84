/** Reads documents that are named on the command line. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { parseDocument } from '@jasmineroute/document';
import type { Document, Problem } from '@jasmineroute/document';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { STANDARD_INPUT } from '../terminal/index.js';
import type { Terminal } from '../terminal/index.js';

/** A document as its file gives it. */
export interface DocumentFile {
  readonly file: string;
  readonly text: string;
  readonly parsed: Result<Document, Problem[]>;
}

/** Name of a file for messages. */
export function fileLabel(file: string): string {
  return file === STANDARD_INPUT ? '<stdin>' : file;
}

/** Reads a text; "-" is standard input. */
export async function readText(terminal: Terminal, file: string): Promise<Result<string, Fault>> {
  try {
    return ok(await terminal.read(file));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err(fault('invalid-request', `${fileLabel(file)} can't be read: ${reason}`, { cause }));
  }
}

/** Reads and checks a document. */
export async function readDocument(terminal: Terminal, file: string): Promise<Result<DocumentFile, Fault>> {
  const text = await readText(terminal, file);
  return text.map((content) => ({ file, text: content, parsed: parseDocument(content) }));
}
