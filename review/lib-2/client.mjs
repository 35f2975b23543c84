// A client as PROTOCOL.md describes it, and a configuration of a small deployment.
import { request as send } from 'node:http';

export const KEY = 'ctnfzs989anu6wsjnban';

export function configurationOf(version, change = {}) {
  const base = { host: 'jepu9.example', timeoutMs: 6000, targetLatencyMs: 400, priority: 1, public: false };
  return {
    version,
    routes: [
      {
        ...base,
        name: 'r-stream',
        pathPrefix: '/s/',
        kind: 'streaming',
        service: 'pool',
        maxAttempts: 2,
        sticky: true,
        resumable: true,
        gapTargetMs: 250,
      },
      {
        ...base,
        name: 'r-once',
        pathPrefix: '/o/',
        kind: 'unsafe',
        service: 'desk',
        maxAttempts: 1,
        sticky: false,
        resumable: false,
      },
      {
        ...base,
        name: 'r-often',
        pathPrefix: '/r/',
        kind: 'safe',
        service: 'desk',
        maxAttempts: 2,
        sticky: false,
        resumable: false,
      },
    ],
    services: [
      {
        name: 'pool',
        healthPath: '/health',
        maxConnections: 320,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 48,
          kvCapacity: 122994,
          tokenKvBytes: 192512,
          linkMbps: 740000,
          maxConcurrent: 12,
          models: [{ name: 'm' }],
        },
      },
      { name: 'desk', healthPath: '/health', maxConnections: 130, protocol: 'h1', tls: false },
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{ name: 'sese880', apiKeys: [KEY], priority: 1, isolated: false }],
    ...change,
  };
}

let asked = 0;

/** One request on a channel of its own. */
export function ask(
  installation,
  front,
  { path, method = 'POST', headers = {}, body = 'question', timeoutMs = 6000 },
) {
  asked += 1;
  const id = `q${asked.toString(16).padStart(6, '0')}${Math.random().toString(16).slice(2, 10)}`;
  const fields = {
    host: 'jepu9.example',
    'x-jasmineroute-request-id': id,
    'x-jasmineroute-deadline-ms': String(timeoutMs),
    'x-jasmineroute-model': 'm',
    'x-jasmineroute-prompt-prefix': '5c1e07a2:800,e4402b7d:250',
    'x-jasmineroute-token-usage': '1050,40',
    'api-key': KEY,
    'content-length': String(Buffer.byteLength(body)),
    ...headers,
  };
  installation.note({ what: 'sent', id, path, to: front.host });
  return new Promise((resolve) => {
    let isTold = false;
    const tell = (result) => {
      if (isTold) return;
      isTold = true;
      installation.note({ what: 'answered', id, ...result, text: undefined });
      resolve({ id, ...result });
    };
    const request = send({ ...front, path, method, headers: fields, agent: false }, (answer) => {
      let text = '';
      answer.on('data', (part) => (text += part.toString()));
      answer.on('end', () =>
        tell({ status: answer.statusCode, isWhole: answer.complete, text, headers: undefined }),
      );
      answer.on('error', () => tell({ status: answer.statusCode, isWhole: false, text }));
    });
    request.on('error', (error) =>
      tell({ status: 0, isWhole: false, text: '', problem: String(error.code ?? error) }),
    );
    request.setTimeout(timeoutMs, () => request.destroy(new Error('deadline')));
    request.end(body);
  });
}
