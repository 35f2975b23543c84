// A configuration names a store at an address that can't be called, as after a slip of the keyboard.
import { writeFileSync } from 'node:fs';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

const root = new URL('../../', import.meta.url);
const trouble = process.env.TROUBLE !== '0';
const record = [];
const started = Date.now();
const note = (text) => record.push(`${((Date.now() - started) / 1000).toFixed(3)} s  ${text}`);
const finish = (code) => {
  writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
  process.exit(code);
};
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A digit too many. Without the disruption: a possible address, where no store answers. */
const STORE = trouble ? (process.env.STORE ?? '127.0.0.1:87810') : '127.0.0.1:8781';
/** A process that ends is started again after so long. */
const RESTART_MS = 500;
/** The operator reads back from so long after the acknowledgement on, for so long: `recoveryS`, and over `contactMs`. */
const SETTLE_MS = 12_000;
const READ_MS = 10_000;

const configuration = (version, store) => ({
  version,
  routes: [
    {
      name: 'check',
      host: 'a.example',
      pathPrefix: '/s/',
      kind: 'streaming',
      timeoutMs: 6_000,
      targetLatencyMs: 400,
      priority: 1,
      service: 'pool',
      maxAttempts: 1,
      public: false,
      sticky: true,
      resumable: false,
      gapTargetMs: 250,
    },
    {
      name: 'fetch',
      host: 'a.example',
      pathPrefix: '/r/',
      kind: 'safe',
      timeoutMs: 2_500,
      targetLatencyMs: 193,
      priority: 2,
      service: 'desk',
      maxAttempts: 2,
      public: false,
      sticky: false,
      resumable: false,
    },
  ],
  services: [
    {
      name: 'pool',
      healthPath: '/health',
      maxConnections: 320,
      engine: {
        slots: 48,
        kvCapacity: 122_994,
        tokenKvBytes: 192_512,
        linkMbps: 740_000,
        maxConcurrent: 12,
        models: [{ name: 'm' }],
      },
    },
    { name: 'desk', healthPath: '/health', maxConnections: 130 },
    ...(store === undefined
      ? []
      : [
          {
            name: 'vault',
            kvStoreAddr: store,
            zone: 'here',
            kvCapacity: 1_045_385,
            linkMbps: 420_000,
            maxConcurrent: 12,
          },
        ]),
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'harbour', apiKeys: ['key-harbour'], priority: 0, isolated: false }],
});

let installation;
let code = 2;
let isOver = false;
const watchdog = setTimeout(() => {
  note('gave up after 100 s');
  finish(2);
}, 100_000);
try {
  const { Installation } = await import(new URL('platform/dist/testing/installation.js', root));
  const program = {
    script: fileURLToPath(new URL('target/jasminerouted.cjs', root)),
    nodeArgs: ['--v8-pool-size=1'],
    argsOf: (role) => [role],
  };
  const bounds = {
    retryBudgetRatio: 0.2,
    budgetSlack: 62,
    graceS: 8,
    versionMs: 8_000,
    leaseMs: 3_000,
    configApplyMs: 2_000,
    contactMs: 3_000,
  };
  installation = await Installation.start({
    controls: 3,
    entries: 2,
    models: 1,
    plain: 1,
    program,
    settings: { bounds, faultTolerance: { machines: 1, zones: 0, regions: 0 } },
    target: { slots: 48 },
  });
  note(`configuration 1 answered ${await installation.configure(configuration(1))}`);
  await installation.settled();
  await sleep(2_000);

  // The platform: a process that exits is started again.
  const ends = new Map();
  const keepUp = async (name) => {
    for (;;) {
      await installation.process(name).exit;
      if (isOver) return;
      ends.set(name, (ends.get(name) ?? 0) + 1);
      await sleep(RESTART_MS);
      if (isOver) return;
      await installation.restart(name, { bootstrap: false }).catch(() => undefined);
    }
  };
  for (const name of ['control-1', 'control-2', 'control-3']) void keepUp(name);

  /** One call of the operator to one instance after the other. */
  const call = async (path, options = {}) => {
    for (const control of installation.controls) {
      const answer = await globalThis
        .fetch(`http://${control}${path}`, { ...options, signal: globalThis.AbortSignal.timeout(1_000) })
        .then(async (one) => ({ status: one.status, text: await one.text() }))
        .catch(() => undefined);
      if (answer !== undefined && answer.status < 500) return answer;
    }
    return undefined;
  };
  const put = (body) => call('/config/put', { method: 'POST', body: JSON.stringify(body) });
  const second = await put(configuration(2, STORE));
  note(
    `configuration 2, with a store at "${STORE}", answered ${second?.status ?? 'nothing'} ${second?.text ?? ''}`,
  );
  if (second?.status !== 200) throw new Error('configuration 2 was not acknowledged');
  await sleep(SETTLE_MS);
  let reads = 0;
  const seen = new Set();
  for (const end = Date.now() + READ_MS; Date.now() < end; await sleep(100)) {
    const answer = await call('/config/get');
    reads += 1;
    if (answer?.status === 200) seen.add(JSON.parse(answer.text).version);
  }
  note(`${reads} rounds of reads at all instances brought versions ${[...seen].join(', ') || 'none'}`);
  const third = await put(configuration(3));
  note(`configuration 3, without the store, answered ${third?.status ?? 'nothing, at no instance'}`);
  note(
    `ends of processes by themselves: ${[...ends].map(([name, count]) => `${name} ${count}`).join(', ') || 'none'}`,
  );
  if (seen.has(2)) {
    note('CONFIG held');
    code = 0;
  } else {
    note('CONFIG broken: the configuration that was acknowledged does not come when it is read back');
    code = 1;
  }
} catch (error) {
  note(`could not run: ${error.message}`);
} finally {
  isOver = true;
  clearTimeout(watchdog);
  await installation?.stop();
}
finish(code);
