import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { ManagedProcess } from './managedProcess.js';

const folder = mkdtempSync(join(tmpdir(), 'testkit-process-'));

/** Writes a script that says it is ready and then lives until told otherwise. */
function script(name: string, body: string): string {
  const file = join(folder, `${name}.mjs`);
  const line = `{ ready: true, role: 'test', name: '${name}', pid: process.pid, http: '127.0.0.1:1' }`;
  writeFileSync(file, `${body}\nconsole.log(JSON.stringify(${line}));\nsetInterval(() => {}, 1000);\n`);
  return file;
}

const options = (name: string, body = '') => ({
  name,
  script: script(name, body),
  args: ['--some', 'flag'],
  logFile: join(folder, `${name}.log`),
});

describe('ManagedProcess', () => {
  it('waits for the ready line, stops with the exit code, and starts again', async () => {
    const managed = await ManagedProcess.start(
      options('stoppable', "process.on('SIGTERM', () => process.exit(7));"),
    );
    const first = managed.pid;
    expect(managed.ready.name).toBe('stoppable');
    expect(await managed.stop()).toEqual({ code: 7, signal: null });
    await managed.start();
    expect(managed.pid).not.toBe(first);
    await managed.kill();
    expect(managed.running).toBe(false);
  });

  it('kills what does not stop in time', async () => {
    const managed = await ManagedProcess.start(options('stubborn', "process.on('SIGTERM', () => {});"));
    expect(await managed.stop(100)).toEqual({ code: null, signal: 'SIGKILL' });
  });

  it('stops a paused process', async () => {
    const managed = await ManagedProcess.start(options('paused'));
    managed.pause();
    expect(await managed.stop()).toEqual({ code: null, signal: 'SIGTERM' });
  });

  it('rejects with the log file and its end when the process ends before it is ready', async () => {
    const failing = options('failing', "console.error('broken setting'); process.exit(2);");
    const start = ManagedProcess.start(failing);
    await expect(start).rejects.toThrow(/failing ended with code 2.*failing\.log.*\n.*broken setting/);
    expect(readFileSync(failing.logFile, 'utf8')).toContain('broken setting');
  });

  it('keeps settings of the calling shell from the child', async () => {
    process.env.JASMINEROUTE_PORT = '9999';
    const managed = await ManagedProcess.start(
      options('clean', 'console.log(`port ${process.env.JASMINEROUTE_PORT}`);'),
    );
    delete process.env.JASMINEROUTE_PORT;
    await managed.kill();
    expect(readFileSync(managed.options.logFile, 'utf8')).toContain('port undefined');
  });
});
