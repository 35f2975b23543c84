// A planned stop of an entry: requests that clients send on kept channels later than 3 s after SIGTERM.
import { writeFileSync } from 'node:fs';
import { Agent, request as send } from 'node:http';
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

/** `graceS`: the platform sends SIGKILL so long after SIGTERM. */
const GRACE_MS = 8_000;
/** A request that is sent no later than this after SIGTERM is excused while its server is still at work at the end. */
const EXCUSED_MS = 3_000;
/** The server of the streams: 40 events of 4 tokens, 150 ms apart; the route's longest pause on time is 250 ms. */
const EVENTS = 40;
const PAUSE_MS = 150;
const CLIENTS = 30;

const configuration = {
  version: 1,
  routes: [
    {
      name: 'summary',
      host: 'a.example',
      pathPrefix: '/s/',
      kind: 'streaming',
      timeoutMs: 15_000,
      targetLatencyMs: 300,
      priority: 0,
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

let sentSoFar = 0;
/** One request on the kept channel of a client. */
function ask(client, place, path, deadlineMs, usage) {
  sentSoFar += 1;
  const id = `q-${sentSoFar}`;
  const headers = {
    host: 'a.example',
    'x-jasmineroute-request-id': id,
    'x-jasmineroute-deadline-ms': String(deadlineMs),
    'x-jasmineroute-model': 'm',
    'x-jasmineroute-token-usage': usage,
    'x-jasmineroute-prompt-prefix': `a1:198,b${sentSoFar}:628`,
    'api-key': 'key-harbour',
  };
  return new Promise((resolve) => {
    const sent = send({ ...place, agent: client.agent, method: 'POST', path, headers }, (answer) => {
      let text = '';
      answer.on('data', (part) => (text += part));
      const end = (how) => () =>
        resolve({
          id,
          status: answer.statusCode,
          how,
          events: text.split('\n\n').length - 1,
          isKept: sent.reusedSocket,
        });
      answer.on('end', end('whole')).on('error', end('cut'));
    });
    sent.on('error', (error) =>
      resolve({ id, status: 0, how: `no answer (${error.code})`, events: 0, isKept: sent.reusedSocket }),
    );
    sent.end('a question');
  });
}

let installation;
let code = 2;
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
    graceS: GRACE_MS / 1_000,
    versionMs: 8_000,
    leaseMs: 3_000,
    drainMs: 2_000,
    configApplyMs: 2_000,
  };
  installation = await Installation.start({
    controls: 3,
    entries: 2,
    models: 2,
    plain: 1,
    plainSlots: 48,
    program,
    settings: { bounds, faultTolerance: { machines: 1, zones: 0, regions: 0 } },
    target: { slots: 48, events: EVENTS, pauseMs: PAUSE_MS },
  });
  note(`configuration 1 answered ${await installation.configure(configuration)}`);
  await installation.settled();
  const place = installation.frontOf(1);
  const entry = installation.process('entry-1');
  const clients = Array.from({ length: CLIENTS }, () => ({
    agent: new Agent({ keepAlive: true, maxSockets: 1 }),
  }));
  const first = await Promise.all(clients.map((client) => ask(client, place, '/r/1', 2_500, '0,0')));
  note(
    `${first.filter(({ status }) => status === 200).length} of ${CLIENTS} clients got an answer on a channel that they keep`,
  );
  await sleep(1_000);
  const stopAt = Date.now();
  let exit;
  if (trouble) {
    entry.signal('SIGTERM');
    note('SIGTERM to entry-1');
    exit = entry
      .stop(GRACE_MS)
      .then((how) => note(`entry-1 ended ${Date.now() - stopAt} ms after SIGTERM: ${JSON.stringify(how)}`));
  }
  // Each client sends one request on its kept channel, 50 ms apart, from 2.4 s after SIGTERM on.
  const asked = clients.map(async (client, at) => {
    await sleep(2_400 + at * 50 - (Date.now() - stopAt));
    const sentMs = Date.now() - stopAt;
    const answer = await ask(client, place, '/s/1', 15_000, `826,${EVENTS * 4}`);
    return { sentMs, tookMs: Date.now() - stopAt - sentMs, ...answer };
  });
  const answers = await Promise.all(asked);
  await exit;
  const ran = new Set(installation.targets.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
  for (const { id, sentMs, tookMs, status, how, events, isKept } of answers)
    note(
      `${id} sent ${sentMs} ms after the stop on a ${isKept ? 'kept' : 'new'} channel, ${ran.has(id) ? 'ran' : 'did not run'}: ${status}, ${how}, ${events} events, after ${tookMs} ms`,
    );
  const lost = answers.filter(
    ({ id, sentMs, status, how, isKept }) =>
      isKept && sentMs > EXCUSED_MS && ran.has(id) && !(how === 'whole' && status > 0),
  );
  if (first.some(({ status }) => status !== 200))
    note('a client got no first answer: the case could not run');
  else if (lost.length > 0) {
    note(
      `LOST broken: ${lost.length} requests were sent later than ${EXCUSED_MS} ms after SIGTERM, passed on to a server, and got no complete answer`,
    );
    code = 1;
  } else {
    const whole = answers.filter(
      ({ status, how, events }) => status === 200 && how === 'whole' && events === EVENTS,
    ).length;
    note(`LOST held; ${whole} of ${CLIENTS} streams were complete`);
    code = 0;
  }
  for (const { agent } of clients) agent.destroy();
} catch (error) {
  note(`could not run: ${error.message}`);
} finally {
  clearTimeout(watchdog);
  await installation?.stop();
}
finish(code);
