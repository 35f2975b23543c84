// The three machines of the core that agents were started with are replaced, one after the other. Then weights are named.
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
async function until(what, isMet, limitMs = 20_000) {
  const end = Date.now() + limitMs;
  for (;;) {
    if (await isMet()) return;
    if (Date.now() > end) throw new Error(`no ${what} within ${limitMs} ms`);
    await sleep(100);
  }
}

/** Bounds of the installation: a machine is back for so long before the next one is lost; weights are judged after these. */
const CATCH_UP_MS = 4_000;
const VERSION_MS = 8_000;
const VERSION_ALL_MS = 11_000;
const SERVERS = 3;

const configuration = {
  version: 1,
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
      maxAttempts: 2,
      public: false,
      sticky: true,
      resumable: true,
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
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'harbour', apiKeys: ['key-harbour'], priority: 0, isolated: false }],
};

let installation;
let code = 2;
const watchdog = setTimeout(() => {
  note('gave up after 110 s');
  finish(2);
}, 110_000);
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
    versionMs: VERSION_MS,
    versionAllMs: VERSION_ALL_MS,
    leaseMs: 3_000,
    drainMs: 2_000,
    configApplyMs: 2_000,
    contactMs: 3_000,
    catchUpS: CATCH_UP_MS / 1_000,
  };
  installation = await Installation.start({
    controls: 3,
    entries: 1,
    models: SERVERS,
    plain: 1,
    program,
    settings: { bounds, faultTolerance: { machines: 1, zones: 0, regions: 0 } },
    target: { slots: 48 },
  });
  note(`configuration 1 answered ${await installation.configure(configuration)}`);
  await installation.settled();
  await until('quorum of three', () => installation.allVote(1));
  // Where the operator and the servers call, which changes with the machines: all servers share one list.
  const [server] = installation.targets;
  const controls = server.options.controls;
  const nameWeights = async (version) => {
    for (const control of controls) {
      const options = {
        method: 'POST',
        body: JSON.stringify({ model: 'm', version }),
        signal: globalThis.AbortSignal.timeout(1_000),
      };
      const answer = await globalThis.fetch(`http://${control}/version-put`, options).catch(() => undefined);
      if (answer?.ok === true) return answer.status;
    }
    return 0;
  };
  const versions = () =>
    installation.targets.flatMap(({ id, version }) =>
      id.startsWith('model') ? [`${id} has version ${version}`] : [],
    );
  const areAll = (version) =>
    installation.targets.every((one) => !one.id.startsWith('model') || one.version === version);
  note(`naming version 2 answered ${await nameWeights(2)}`);
  await until('version 2 everywhere', () => areAll(2), VERSION_ALL_MS);
  note(`before: ${versions().join(', ')}`);
  if (trouble)
    for (const at of [1, 2, 3]) {
      await installation.process(`control-${at}`).kill();
      note(`control-${at} is gone for good`);
      await sleep(1_000);
      // The operator's list changes, and with it the seeds in the settings of all processes, which are told by SIGHUP.
      controls.splice(controls.indexOf(installation.controlAt(at)), 1);
      await installation.launch(`control-${at + 3}`, { bootstrap: false, seeds: [...controls] });
      controls.push(installation.controlAt(at + 3));
      for (const name of installation.names.filter((one) => installation.process(one).running)) {
        installation.changeSettings(name, { bootstrap: false, seeds: [...controls] });
        installation.process(name).signal('SIGHUP');
      }
      await until(`vote of control-${at + 3}`, () => installation.votes(at + 3));
      note(`control-${at + 3} has taken its place with an empty disk, and votes`);
      await sleep(CATCH_UP_MS + 1_000);
    }
  let named = 0;
  await until('acknowledgement of version 3', async () => (named = await nameWeights(3)) === 200);
  note(`naming version 3 answered ${named}`);
  const namedAt = Date.now();
  // The rule gives 1.5 x versionMs, and versionAllMs; judged after both, and 8 s more.
  await until('version 3 everywhere', () => areAll(3), 20_000).catch(() => undefined);
  note(`${Date.now() - namedAt} ms after the acknowledgement: ${versions().join(', ')}`);
  const behind = installation.targets.filter(
    ({ id, version }) => id.startsWith('model') && version < 3,
  ).length;
  const answer = await installation.ask('/s/1');
  note(`a request for the model is answered ${answer.status}`);
  // Not judged: what a server of the other service is told that begins to drain.
  const statuses = [];
  for (const control of controls) {
    const body = JSON.stringify({
      service: 'desk',
      address: installation.targets.find(({ id }) => id === 'plain-1').address,
      zone: 'here',
      version: 'v1',
      slots: 4,
      state: 'draining',
      coldRemainingMs: 0,
      seq: 1_000_000 + statuses.length,
    });
    const options = { method: 'POST', body, headers: { 'content-type': 'application/json' } };
    const told = await globalThis
      .fetch(`http://${control}/instances/plain-1/heartbeat`, options)
      .catch(() => undefined);
    statuses.push(told?.status ?? 0);
  }
  note(`a heartbeat of plain-1 that it drains is answered ${statuses.join(', ')} by the instances in turn`);
  if (behind > 1) {
    note(`VERSION broken: ${behind} of ${SERVERS} servers still have an older version`);
    code = 1;
  } else {
    note('VERSION held');
    code = 0;
  }
} catch (error) {
  note(`could not run: ${error.message}`);
} finally {
  clearTimeout(watchdog);
  await installation?.stop();
}
finish(code);
