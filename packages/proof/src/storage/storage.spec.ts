import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { ManagedProcess, waitFor } from '@jasmineroute/testkit';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import * as z from 'zod';
import { OPERATOR_KEY, Scene, applyMany, modelDocument, plainDocument } from '../fixture/index.js';
import { LogMark, beginRecord, cutTail, flipBit, loseWrite } from './index.js';

const RECOVERY_BOUND_MS = 20_000;
/** Changes of the document "lm" before each damage. */
const CHANGES = 12;
const VICTIM = 'control-2';

/** Numbers of the events that are looked for; operators find them by these. */
const REPAIRED_TAIL = 2001;
const CONFIGURATION = 2009;
const START_FAILED = 7005;

const statusOutput = z.object({
  vouched: z.boolean(),
  replicas: z.array(z.object({ name: z.string(), state: z.string() })),
});
const historyOutput = z.object({ versions: z.array(z.object({ version: z.number() })) });
const failedStart = z.object({ event: z.literal(START_FAILED), error: z.string() });
const configurationLine = z.object({ voters: z.array(z.string()), learners: z.array(z.string()) });

const document = (queue: number): string => modelDocument(`limits:\n  queue: ${queue}\n`).text;

describe('a control instance and its disk', () => {
  let scene: Scene;
  let accepted = 1;

  beforeAll(async () => {
    scene = await Scene.start({
      entries: 0,
      engines: 0,
      desks: 0,
      documents: [modelDocument(), plainDocument()],
    });
  });

  afterAll(async () => {
    await scene.stop();
  });

  beforeEach(async () => {
    // What a failed test left down must not fail the next one too.
    for (const member of scene.cluster.role('control')) if (!member.process.running) await member.start();
  });

  const victim = () => scene.member(VICTIM);
  const data = () => scene.dataOf(VICTIM);

  const ctl = async (args: readonly string[], through: string) =>
    scene.cluster.ctl([...args, '--controls', scene.member(through).address], OPERATOR_KEY);

  /** Has changes accepted through an instance that is not the victim. */
  const change = async (count: number): Promise<void> => {
    const before = accepted;
    await applyMany({
      address: scene.member('control-3').address,
      service: 'lm',
      key: OPERATOR_KEY,
      count,
      baseVersion: before,
      text: (round) => document(100 + before + round),
    });
    accepted = before + count;
  };

  /** Versions of "lm" and the text in force, as one instance tells them. */
  const told = async (through: string) => {
    const history = await ctl(['history', 'lm', '--output', 'json'], through);
    const versions = historyOutput.parse(JSON.parse(history.stdout)).versions.map(({ version }) => version);
    const { stdout } = await ctl(['get', 'lm'], through);
    const { code } = await ctl(['get', 'desk'], through);
    return { versions, text: stdout, hasDesk: code === 0 };
  };

  /** All that was accepted, newest first. */
  const everything = () => ({
    versions: Array.from({ length: accepted }, (_, at) => accepted - at),
    text: document(99 + accepted),
    hasDesk: true,
  });

  const voting = async (through = 'control-1') =>
    waitFor(
      `${VICTIM} to be a voter`,
      async () => {
        const { stdout } = await ctl(['status', '--output', 'json'], through);
        const { replicas } = statusOutput.parse(JSON.parse(stdout));
        return replicas.some(({ name, state }) => name === VICTIM && ['follower', 'leader'].includes(state));
      },
      { timeoutMs: RECOVERY_BOUND_MS, everyMs: 200 },
    );

  /** Starts the victim, which must not come up, and gives its one error line. */
  const refusedStart = async (): Promise<string> => {
    const mark = await LogMark.set(victim().spec.logFile);
    await expect(victim().start()).rejects.toThrow('before it was ready');
    expect(await victim().process.exit).toEqual({ code: 1, signal: null });
    const errors = await mark.errors();
    expect(errors).toHaveLength(1);
    expect(await mark.text()).not.toContain('"ready":true');
    await expect(fetch(`http://127.0.0.1:${victim().spec.port}/`)).rejects.toThrow('fetch failed');
    return failedStart.parse(errors[0]).error;
  };

  const startEmpty = async (): Promise<void> => {
    await rm(data(), { recursive: true, force: true });
    await mkdir(data());
    await victim().start();
    await voting();
  };

  // Guards against an instance that does not start after a power cut, or has lost what was accepted.
  it.each([
    { what: 'the beginning of a record at its end', damage: beginRecord },
    { what: 'its last record cut short', damage: cutTail },
    { what: 'a write that is missing before a later one', damage: loseWrite },
  ])('repairs a journal with $what, and holds all accepted documents', async ({ damage }) => {
    await change(CHANGES);
    await victim().kill();
    await damage(data());
    const mark = await LogMark.set(victim().spec.logFile);
    await victim().start();
    await voting();
    expect((await mark.events()).map(({ event }) => event)).toContain(REPAIRED_TAIL);
    expect(await mark.errors()).toEqual([]);
    // With one of the others gone, nothing is accepted without the repaired one.
    await scene.member('control-1').kill();
    await change(1);
    await waitFor(
      'the repaired one to tell the change',
      async () => (await told(VICTIM)).versions[0] === accepted,
      { timeoutMs: RECOVERY_BOUND_MS, everyMs: 100 },
    );
    expect(await told(VICTIM)).toEqual(everything());
    await scene.member('control-1').start();
    await scene.cluster.settled();
  });

  // Guards against an instance that quietly forgets what it promised, and with it a quorum.
  it('serves nothing from a journal with a flipped bit, and comes back from an empty folder as a learner first', async () => {
    await change(CHANGES);
    await victim().kill();
    await flipBit(data());
    const error = await refusedStart();
    expect(error).toMatch(/journal-\d+: checksum mismatch at byte \d+/);
    expect(error).toContain('start with an empty one');
    expect(await told('control-1')).toEqual(everything());
    const mark = await LogMark.set(victim().spec.logFile);
    await startEmpty();
    expect(await told(VICTIM)).toEqual(everything());
    const parts = (await mark.events())
      .filter(({ event }) => event === CONFIGURATION)
      .map((line) => configurationLine.parse(line))
      .map(({ voters, learners }) => `${voters.includes(VICTIM)} ${learners.includes(VICTIM)}`);
    const learning = parts.findIndex((part) => part.endsWith('true'));
    expect(learning).toBeGreaterThanOrEqual(0);
    expect(parts.slice(learning)).toContain('true false');
  });

  // Guards against an instance with a lost mount that starts as if it were new, or ends with a stack trace.
  it('says clearly that its folder is missing, or is a file', async () => {
    await victim().kill();
    await rm(data(), { recursive: true });
    const missing = await refusedStart();
    expect(missing).toContain(data());
    expect(missing).toContain('the folder is missing');
    await writeFile(data(), 'not a folder');
    const isFile = await refusedStart();
    expect(isFile).toContain(data());
    expect(isFile).toContain('not a folder');
    await rm(data());
    await mkdir(data());
    await writeFile(join(data(), 'control'), 'not a folder');
    const isFileInside = await refusedStart();
    expect(isFileInside).toContain('not a folder');
    await startEmpty();
    expect(await told(VICTIM)).toEqual(everything());
  });

  // Guards against two processes that write one journal, and both promise what neither holds.
  it('ends a second process on a folder, and the first goes on', async () => {
    const { name, script, args } = victim().spec;
    const logFile = join(scene.dataOf('second'), '..', 'second.log');
    const second = new ManagedProcess({ name, script, args, logFile });
    for (const round of [1, 2]) {
      const mark = await LogMark.set(logFile);
      await expect(second.start(['--port', '0', '--health-port', '0'])).rejects.toThrow(
        'before it was ready',
      );
      expect(await second.exit, `round ${round}`).toEqual({ code: 1, signal: null });
      const errors = await mark.errors();
      expect(errors).toHaveLength(1);
      const { error } = failedStart.parse(errors[0]);
      expect(error).toContain('the folder is in use');
      expect(error).toContain(String(victim().process.pid));
    }
    expect(victim().process.running).toBe(true);
    await scene.member('control-1').kill();
    await change(1);
    expect((await told(VICTIM)).versions).toContain(accepted);
    await scene.member('control-1').start();
    await scene.cluster.settled();
  });
});
