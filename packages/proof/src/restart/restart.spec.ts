import { mkdir, readFile, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { waitFor } from '@jasmineroute/testkit';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Scene, ask } from '../fixture/index.js';

const SERVE_BOUND_MS = 10_000;

describe('entries that restart', () => {
  let scene: Scene;

  beforeEach(async () => {
    scene = await Scene.start({ desks: 0 });
  });

  afterEach(async () => {
    await scene.stop();
  });

  const firstAnswer = (entry: number) =>
    waitFor(
      `entry ${entry} to serve`,
      async () => {
        const answer = await ask({ url: scene.url(entry) });
        return answer.ended ? answer : undefined;
      },
      { timeoutMs: SERVE_BOUND_MS },
    );

  /** Waits until an entry has kept all targets; it does so within about a second of a change. */
  const keptTargets = () =>
    waitFor('the targets to be kept', async () => {
      const kept = await readFile(join(scene.dataOf('entry-1'), 'directory-instances.kept'), 'latin1');
      return kept.includes('lm-1') && kept.includes('lm-2');
    });

  const killControls = () => Promise.all(scene.cluster.role('control').map((member) => member.kill()));

  it('serve from what they kept while no control instance can be reached', async () => {
    // Symptom: after a failure of control, an entry that restarts refuses everything.
    // Sequence: all control instances are gone; an entry gets kill -9 and starts again.
    // Cause: a start that needs an answer of control.
    await keptTargets();
    await killControls();
    await scene.member('entry-1').crash();
    const answer = await firstAnswer(1);
    expect(answer.text).toBe(answer.wanted);
  });

  it('serve from what a neighbour knows when their own folder is lost too', async () => {
    // Symptom: as above, for an entry on a fresh machine.
    // Sequence: all control instances are gone; an entry comes back with an empty folder.
    // Cause: entries that tell each other nothing.
    const neighbour = scene.member('entry-2').address;
    await killControls();
    await scene.member('entry-1').kill();
    await rm(scene.dataOf('entry-1'), { recursive: true });
    await mkdir(scene.dataOf('entry-1'));
    const controls = `${scene.cluster.controls},${neighbour}`;
    await scene.member('entry-1').start(['--controls', controls]);
    const answer = await firstAnswer(1);
    expect(answer.text).toBe(answer.wanted);
  });

  it('serve again when all processes of the system restart as a herd', async () => {
    // Symptom: after a power cut the system stays down, each part waiting for another.
    // Sequence: every process gets kill -9 at once and starts again.
    // Cause: a circle of parts that wait for each other at their start.
    const daemons = ['control', 'entry', 'agent'].flatMap((role) =>
      scene.cluster.role(role as 'control' | 'entry' | 'agent'),
    );
    await Promise.all(daemons.map((member) => member.crash()));
    await scene.cluster.settled();
    for (const entry of [1, 2]) {
      const answer = await firstAnswer(entry);
      expect(answer.text).toBe(answer.wanted);
    }
  });
});
