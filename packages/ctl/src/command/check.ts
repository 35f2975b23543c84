/** `check`: looks for faults in documents, each alone and all together, without a control instance. */
import { checkTogether } from '@jasmineroute/document';
import type { Document, Problem } from '@jasmineroute/document';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { outputSettings } from '../setting/index.js';
import type { OutputSettings } from '../setting/index.js';
import type { CommandContext, LocalCommand } from './context.js';
import { report, reportFault } from './context.js';
import type { DocumentFile } from './file.js';
import { fileLabel, readDocument } from './file.js';
import { formatProblems } from './problems.js';

interface CheckedFile {
  readonly file: string;
  readonly service?: string;
  readonly problems: readonly Problem[];
}

export const checkCommand: LocalCommand<typeof outputSettings> = {
  name: 'check',
  operands: '<file...>',
  summary: 'Check documents, each alone and all together; prints every fault with its line',
  examples: ['jasminectl check examples/trust/*.yaml', 'cat lm-pool.yaml | jasminectl check -'],
  settings: outputSettings,
  run: check,
};

async function check(context: CommandContext<OutputSettings>): Promise<ExitCode> {
  const read: DocumentFile[] = [];
  for (const file of context.operands) {
    const document = await readDocument(context.terminal, file);
    if (document.isErr()) return reportFault(context, document.error);
    read.push(document.value);
  }
  const files = checkFiles(read);
  const conflicts = checkTogether(documentsOf(read));
  const ok = conflicts.length === 0 && files.every(({ problems }) => problems.length === 0);
  report(context, { ok, files, conflicts }, formatCheck(files, conflicts));
  return ok ? exitCodes.ok : exitCodes.fault;
}

function checkFiles(read: readonly DocumentFile[]): CheckedFile[] {
  const seen = new Map<string, string>();
  return read.map(({ file, parsed }) => {
    if (parsed.isErr()) return { file: fileLabel(file), problems: parsed.error };
    const { service } = parsed.value;
    const earlier = seen.get(service);
    seen.set(service, fileLabel(file));
    const repeated = { path: 'service', line: 0, message: `is also the service of ${earlier ?? ''}` };
    return { file: fileLabel(file), service, problems: earlier === undefined ? [] : [repeated] };
  });
}

function documentsOf(read: readonly DocumentFile[]): Map<string, Document> {
  const documents = read.flatMap(({ parsed }) => (parsed.isOk() ? [parsed.value] : []));
  return new Map(documents.map((document) => [document.service, document]));
}

function formatCheck(files: readonly CheckedFile[], conflicts: readonly Problem[]): string {
  const lines = files.map(({ file, service, problems }) =>
    problems.length === 0 ? `${file}: ${service ?? ''}: ok\n` : formatProblems(file, problems),
  );
  return lines.join('') + formatProblems('together', conflicts);
}
