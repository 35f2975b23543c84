import { execFileSync } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../clock/index.js';
import { LineWriter } from './lineWriter.js';
import type { LostLines } from './lineWriter.js';

const MB = 1_048_576;

describe('LineWriter', () => {
  let folder: string;
  let path: string;
  let descriptor: number;
  let clock: ManualClock;
  let lost: LostLines[];
  let writer: LineWriter;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'lines-'));
    path = join(folder, 'log');
    descriptor = openSync(path, 'a');
    clock = new ManualClock();
    lost = [];
    writer = new LineWriter(descriptor, clock, (lines) => lost.push(lines));
  });

  afterEach(() => {
    closeSync(descriptor);
    rmSync(folder, { recursive: true });
  });

  async function writtenBytes(least: number): Promise<string> {
    for (;;) {
      const text = readFileSync(path, 'utf8');
      if (text.length >= least) return text;
      await setImmediate();
    }
  }

  it('writes lines in order, at once when there are many and after a time otherwise', async () => {
    const many = Array.from({ length: 500 }, (_, at) => `line ${at} of a log\n`);
    for (const line of many) writer.write(line);
    const length = many.join('').length;
    await clock.advance(250);
    expect(await writtenBytes(length)).toBe(many.join(''));
    writer.write('last\n');
    await clock.advance(250);
    expect(await writtenBytes(length + 5)).toMatch(/last\n$/);
  });

  it('writes at the end of the process what is left', () => {
    writer.write('last\n');
    writer.writeLast();
    expect(readFileSync(path, 'utf8')).toBe('last\n');
  });

  // Guards against a log that fills the memory while nobody takes its lines.
  it('drops lines beyond a bound, and tells how many', async () => {
    for (let bytes = 0; bytes < 3 * MB; bytes += 1_000) writer.write(`${'x'.repeat(999)}\n`);
    await writtenBytes(MB - 1_000);
    while (lost.length === 0) await setImmediate();
    expect(readFileSync(path, 'utf8').length).toBeLessThanOrEqual(MB);
    expect(lost[0]?.lines).toBeGreaterThan(2_000);
  });

  // Guards against a process that can't end, as its last lines are tried for ever.
  it('gives up at the end of the process what is refused', () => {
    const script = `
      const { createLog } = await import(${JSON.stringify(new URL('../../dist/index.js', import.meta.url).href)});
      const log = createLog('info', {}, 'stdout');
      for (let at = 0; at < 100; at += 1) log.event({ id: 1, level: 'info', message: 'a line' });
      process.exit();`;
    const full = openSync('/dev/full', 'w');
    const args = ['--input-type=module', '-e', script];
    execFileSync(process.execPath, args, { stdio: ['ignore', full, 'pipe'], timeout: 10_000 });
    closeSync(full);
  });
});
