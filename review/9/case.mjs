// Clients send many header fields, far below the limit of their bytes. TROUBLE=0: fewer fields.
import { writeFileSync } from 'node:fs';
import net from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Installation, now, sleep } from '../lib-2/installation.mjs';
import { ModelServer } from '../lib-2/modelServer.mjs';
import { KEY, configurationOf } from '../lib-2/client.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const FOLDER = dirname(fileURLToPath(import.meta.url));
const SERVERS = 2;
const REQUESTS = 40;
/** Further fields of a request, for example of tracing and of proxies before it. */
const FIELDS = TROUBLE ? 220 : 150;
const MAX_HEADER_BYTES = 16384;
const WANTED = {
  'x-jasmineroute-model': 'm',
  'x-jasmineroute-token-usage': '1050,40',
  'x-jasmineroute-prompt-prefix': '5c1e07a2:800,e4402b7d:250',
};

const installation = await Installation.create({ controls: 3, entries: 2, agents: SERVERS });
installation.named = 1;
/** What reached a server, by the id of the request. */
const reached = new Map();
const servers = Array.from({ length: SERVERS }, (_, at) => {
  const server = new ModelServer(installation, at + 1);
  const run = server.run.bind(server);
  server.run = (boot, request, response, own) => {
    reached.set(request.headers['x-jasmineroute-request-id'], request.headers);
    return run(boot, request, response, own);
  };
  return server;
});

/** The head of a request, and its answer on a channel of its own. */
function send(id, front, more) {
  const fields = [
    'Host: jepu9.example',
    `X-Jasmineroute-Request-Id: ${id}`,
    'X-Jasmineroute-Deadline-Ms: 6000',
    `Api-Key: ${KEY}`,
    'Content-Length: 2',
    ...Array.from({ length: FIELDS }, (_, at) => `X-Trace-${at}: ${at}`),
    ...more,
  ];
  const head = `POST /s/1 HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`;
  if (head.length > MAX_HEADER_BYTES) throw new Error('the head is too large');
  installation.note({ what: 'sent', id, to: front.host, fields: fields.length, headBytes: head.length });
  return new Promise((resolve) => {
    const socket = net.connect(front);
    let text = '';
    const end = () => {
      socket.destroy();
      const status = Number(text.split(' ')[1] ?? 0);
      const events = [...text.matchAll(/\nid: (\d+)/g)].map(([, event]) => Number(event));
      installation.note({ what: 'answered', id, status, events });
      resolve({ status, events });
    };
    socket.on('error', () => undefined);
    socket.on('data', (part) => {
      text += part.toString();
      if (text.includes('\r\n0\r\n\r\n') || /content-length/i.test(text)) socket.end();
    });
    socket.once('close', end);
    socket.setTimeout(6000, () => socket.destroy());
    socket.write(`${head}hi`);
  });
}

async function play() {
  await Promise.all(servers.map((server) => server.start()));
  installation.startAll();
  const put = await installation.operate('POST', '/config/put', configurationOf(1));
  if (put?.status !== 200) throw new Error('the configuration was not acknowledged');
  await installation.ready();
  await sleep(3000);
  const begunAt = now();
  const prompt = Object.entries(WANTED).map(([name, value]) => `${name}: ${value}`);
  const answers = [];
  for (let at = 0; at < REQUESTS; at += 1) {
    const id = `h${at.toString(16).padStart(4, '0')}`;
    answers.push({ id, ...(await send(id, installation.frontAt((at % 2) + 1), prompt)) });
  }
  installation.note({ what: 'requests done', ms: Math.round(now() - begunAt) });
  return answers;
}

let code = 2;
try {
  const answers = await play();
  const changed = [...reached].flatMap(([id, headers]) => {
    const other = Object.entries(WANTED).filter(([name, value]) => headers[name] !== value);
    if (other.length === 0) return [];
    return [{ id, changed: other.map(([name]) => `${name}: ${headers[name] ?? '(missing)'}`) }];
  });
  for (const one of changed) installation.note({ what: 'ran with other headers', ...one });
  const verdict = {
    what: 'verdict',
    fieldsMore: FIELDS,
    sent: answers.length,
    answered200: answers.filter(({ status }) => status === 200).length,
    ran: reached.size,
    ranChanged: changed.length,
    first: changed[0],
    isBroken: changed.length > 0,
  };
  installation.note(verdict);
  console.log(JSON.stringify(verdict));
  if (reached.size === 0) throw new Error('no request ran');
  code = verdict.isBroken ? 1 : 0;
} catch (error) {
  installation.note({ what: 'could not run', problem: String(error) });
  console.error(error);
} finally {
  await Promise.all(servers.map((server) => server.stop()));
  await installation.stop();
  writeFileSync(
    join(FOLDER, 'record.txt'),
    `${installation.record.map((one) => JSON.stringify(one)).join('\n')}\n`,
  );
}
process.exit(code);
