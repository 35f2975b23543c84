// The system of the quickstart: 3 control instances, 2 entries, 4 engine stand-ins with agents and one plain
// service, with both deployments' documents.
import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Cluster } from '@jasmineroute/testkit';
import OpenAI from 'openai';

const FOLDER = '.quickstart';

const operatorKey = (team) => `example-operator-key-${team}`;
const customerKey = (customer) => `example-key-${customer}`;

const documents = [
  { service: 'appraiser-models', path: 'examples/trust/appraiser-models.yaml', team: 'appraisal' },
  { service: 'registry-desk', path: 'examples/trust/registry-desk.yaml', team: 'registry' },
  { service: 'lm-pool', path: 'examples/guild/lm-pool.yaml', team: 'pool' },
  { service: 'delivery-portal', path: 'examples/guild/delivery-portal.yaml', team: 'portal' },
];

const valuation = ['--models', 'valuation@2026.10', '--adapters', 'valuation:notes@7'];
const guild = ['--models', 'rating-check@2026.11,captions@2026.09'];

const target = (name, dataCentre, service, standInArgs) => ({
  name,
  dataCentre,
  service,
  kind: 'model',
  standInArgs,
});

const options = {
  folder: FOLDER,
  controls: ['kollupitiya', 'rajagiriya', 'dehiwala'].map((dataCentre, at) => ({
    name: `control-${at + 1}`,
    dataCentre,
  })),
  entries: ['kollupitiya', 'rajagiriya'].map((dataCentre, at) => ({ name: `entry-${at + 1}`, dataCentre })),
  targets: [
    target('appraiser-1', 'kollupitiya', 'appraiser-models', valuation),
    target('appraiser-2', 'dehiwala', 'appraiser-models', valuation),
    target('pool-1', 'leith-hall', 'lm-pool', guild),
    target('pool-2', 'govan-hall', 'lm-pool', guild),
    { name: 'portal-1', dataCentre: 'stirling-hall', service: 'delivery-portal', kind: 'plain' },
  ],
  documents: documents.map(({ service, path, team }) => ({
    service,
    text: readFileSync(path, 'utf8'),
    key: operatorKey(team),
  })),
  links: 'direct',
};

// Customers' names come from the documents themselves, so that the printed keys are those in force.
function customersOf(text) {
  const section = text.slice(text.indexOf('\ncustomers:'));
  return [...section.matchAll(/^ {2}- name: (\S+)/gm)].map((match) => match[1]);
}

const keys = Object.fromEntries(
  options.documents.map(({ service, text }) => [
    service,
    Object.fromEntries(customersOf(text).map((name) => [name, customerKey(name)])),
  ]),
);

const HOUSE_STYLE = 'You value fine art for insurance. State condition, provenance and a range. '.repeat(12);

async function stream(baseURL, apiKey, model, question) {
  const client = new OpenAI({ baseURL, apiKey, maxRetries: 0 });
  const begun = performance.now();
  const answer = await client.chat.completions.create({
    model,
    stream: true,
    max_tokens: 12,
    messages: [
      { role: 'system', content: HOUSE_STYLE },
      { role: 'user', content: question },
    ],
  });
  let first;
  let text = '';
  let finish;
  for await (const chunk of answer) {
    first ??= performance.now() - begun;
    text += chunk.choices[0]?.delta.content ?? '';
    finish = chunk.choices[0]?.finish_reason ?? finish;
  }
  return `first token after ${Math.round(first)} ms, ended with "${finish}": ${text.trim().slice(0, 60)}`;
}

async function traffic(cluster) {
  const [first, second] = cluster.entryUrls;
  const harbour = customerKey('harbour-marine');
  console.log('\nA customer of the Trust asks through either entry, with the openai client:');
  for (const url of [first, second, first]) {
    console.log(
      `  ${url}  ${await stream(`${url}/v1`, harbour, 'valuation', 'Bronze of a dancing Shiva, 12th century?')}`,
    );
  }
  console.log('\nA member of the Guild asks for captions:');
  const house = Object.keys(keys['lm-pool'])[0];
  console.log(
    `  ${second}  ${await stream(`${second}/v1`, customerKey(house), 'captions', 'Caption the first minute.')}`,
  );
  console.log(
    '\nA distributor calls the delivery portal, a plain service; the resend gets the first answer:',
  );
  const portal = Object.keys(keys['delivery-portal'])[0];
  for (const url of [first, second]) console.log(`  ${url}  ${await order(url, customerKey(portal))}`);
  console.log('\nA wrong key and an unknown model:');
  console.log(`  ${await refused(first, 'wrong', 'valuation')}`);
  console.log(`  ${await refused(first, harbour, 'no-such-model')}`);
}

async function order(url, key) {
  const answer = await fetch(`${url}/delivery-portal/submissions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      'idempotency-key': 'submission-1',
    },
    body: JSON.stringify({ package: 'teaser-4' }),
  });
  const replayed = answer.headers.get('x-idempotent-replay') === 'true' ? ', kept answer' : '';
  return `${answer.status}${replayed}: ${(await answer.text()).slice(0, 90)}`;
}

async function refused(url, key, model) {
  const answer = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, prompt: 'x', max_tokens: 1 }),
  });
  return `${answer.status} ${await answer.text()}`;
}

function printCurl(cluster) {
  console.log(`\nTry it yourself while it is up (npm run quickstart -- --stay):

  curl -N ${cluster.entryUrls[0]}/v1/chat/completions \\
    -H 'authorization: Bearer ${customerKey('harbour-marine')}' -H 'content-type: application/json' \\
    -d '{"model":"valuation","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Hello"}]}'

  node packages/ctl/dist/main.js status --controls ${cluster.controls}
`);
}

function untilInterrupted() {
  return new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

export async function quickstart(stay) {
  // Ctrl-C during the start: an exit in order, which ends the processes started so far.
  const leave = () => process.exit(130);
  process.on('SIGINT', leave);
  process.on('SIGTERM', leave);
  rmSync(FOLDER, { recursive: true, force: true });
  mkdirSync(FOLDER, { recursive: true });
  console.log(
    'Starting 3 control instances, 2 entries, 4 engine stand-ins with agents and a plain service …',
  );
  const begun = performance.now();
  const cluster = await Cluster.start(options);
  console.log(
    `Up, with four documents in force everywhere, after ${Math.round(performance.now() - begun)} ms.`,
  );
  let failed = false;
  try {
    await traffic(cluster);
    const status = await cluster.ctl(['status']);
    console.log(`\njasminectl status:\n${status.stdout}`);
    printCurl(cluster);
    if (stay) {
      writeFileSync(`${FOLDER}/state.json`, JSON.stringify({ ...cluster.state(), keys }, null, 2));
      console.log(`State in ${FOLDER}/state.json. Ctrl-C stops everything.`);
      process.off('SIGINT', leave);
      process.off('SIGTERM', leave);
      await untilInterrupted();
    }
  } catch (error) {
    failed = true;
    console.error(error);
  } finally {
    await cluster.stop();
  }
  console.log(failed ? 'Stopped after a failure; logs are in .quickstart/logs.' : 'Stopped cleanly.');
  process.exit(failed ? 1 : 0);
}
