/** `hash-key`: the form of a key that documents hold. */
import { hashKey } from '@jasmineroute/document';
import { exitCodes } from '../exit/index.js';
import type { ExitCode } from '../exit/index.js';
import { outputSettings } from '../setting/index.js';
import type { OutputSettings } from '../setting/index.js';
import { STANDARD_INPUT } from '../terminal/index.js';
import type { CommandContext, LocalCommand } from './context.js';
import { report, reportFault } from './context.js';
import { readText } from './file.js';

/** A shorter key could be found by trying, given its hash. */
const SAFE_LENGTH = 20;

export const hashKeyCommand: LocalCommand<typeof outputSettings> = {
  name: 'hash-key',
  operands: '[file]',
  summary: 'Print the hash of a key, for documents; the key is read from a file or standard input',
  examples: [
    'openssl rand -hex 32 > key && jasminectl hash-key key',
    'pass show harbour | jasminectl hash-key',
  ],
  settings: outputSettings,
  run: printHash,
};

async function printHash(context: CommandContext<OutputSettings>): Promise<ExitCode> {
  const text = await readText(context.terminal, context.operands[0] ?? STANDARD_INPUT);
  if (text.isErr()) return reportFault(context, text.error);
  const key = text.value.trim();
  if (key === '') {
    context.terminal.error('the key is empty\n');
    return exitCodes.usage;
  }
  if (key.length < SAFE_LENGTH) {
    context.terminal.error(
      `warning: a key of under ${SAFE_LENGTH} characters may be guessed from its hash\n`,
    );
  }
  const hash = hashKey(key);
  report(context, { hash }, `${hash}\n`);
  return exitCodes.ok;
}
