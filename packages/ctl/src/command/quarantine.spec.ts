import { afterEach, describe, expect, it } from 'vitest';
import { exitCodes } from '../exit/index.js';
import { run, startControl, stopControls } from '../fixture/index.js';

afterEach(stopControls);

const REQUEST = '5e02f42380845430fff1a9b45f592af7';

describe('quarantine and release', () => {
  const evidence = {
    request: Buffer.from(REQUEST, 'hex'),
    customer: 'harbour',
    service: 'desk',
    crashed: ['t1', 't2', 't3'],
    cleared: [],
  };

  it('lists requests that crashed targets, never their bodies', async () => {
    const controls = await startControl(
      {},
      { listQuarantine: () => ({ entries: [{ evidence, verdict: 'quarantined' }] }) },
    );
    const { code, out } = await run(`quarantine --controls ${controls}`);
    expect(code).toBe(exitCodes.ok);
    expect(out).toContain(REQUEST);
    expect(out).toMatch(/quarantined +harbour +desk +t1,t2,t3/);
    const json = await run(`quarantine --output json --controls ${controls}`);
    expect(JSON.parse(json.out)).toMatchObject({ requests: [{ request: REQUEST, verdict: 'quarantined' }] });
  });

  it('releases a request', async () => {
    const released: string[] = [];
    const controls = await startControl(
      {},
      {
        releaseQuarantined: ({ request }) => {
          released.push(Buffer.from(request).toString('hex'));
          return { known: true };
        },
      },
    );
    expect((await run(`release ${REQUEST} --controls ${controls}`)).out).toBe(`${REQUEST}: released\n`);
    expect(released).toEqual([REQUEST]);
  });

  it('says so when there is no such request', async () => {
    const controls = await startControl({}, { releaseQuarantined: () => ({ known: false }) });
    expect((await run(`release ${REQUEST} --controls ${controls}`)).code).not.toBe(exitCodes.ok);
    expect((await run(`release something --controls ${controls}`)).error).toContain('invalid-request');
  });
});
