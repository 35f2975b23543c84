/* global AbortSignal */
// A model server as PROTOCOL.md describes it, as far as the cases need it: streams, reports, orders, heartbeats, crashes.
import { createServer } from 'node:http';
import { now, sleep } from './installation.mjs';

const HEARTBEAT_MS = 1200;
let boots = 0;

/** One machine with a model server; each start is a new boot with a new id at the same address. */
export class ModelServer {
  /** Weights stay over a restart, as the pages say. */
  version = 1;
  runs = [];
  /** How many times as long its work takes. */
  slowness = 1;
  /** Second answers that are sent before the next one on their channel. */
  extras = new WeakMap();
  orders = [];

  constructor(
    installation,
    at,
    {
      model = 'm',
      slots = 48,
      loadMs = 420,
      events = 10,
      pauseMs = 20,
      firstMs = 20,
      extraShare = 0,
      isHeadFirst = false,
    } = {},
  ) {
    Object.assign(this, {
      installation,
      at,
      model,
      slots,
      loadMs,
      events,
      pauseMs,
      firstMs,
      extraShare,
      isHeadFirst,
    });
    this.address = installation.targetAt(at);
    this.host = this.address.split(':')[0];
    this.port = Number(this.address.split(':')[1]);
  }

  async start() {
    boots += 1;
    this.id = `i-${boots.toString(16).padStart(4, '0')}${Math.random().toString(16).slice(2, 8)}`;
    const boot = { id: this.id, isUp: true };
    this.boot = boot;
    this.seq = 0;
    this.fence = 0;
    this.busy = false;
    this.beats = 0;
    this.control = undefined;
    this.running = 0;
    this.sockets = new Set();
    const server = createServer(
      (request, response) => void this.serve(boot, request, response).catch(() => undefined),
    );
    server.keepAliveTimeout = 5000;
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    await new Promise((done) => server.listen(this.port, this.host, done));
    this.installation.note({
      what: 'server starts',
      id: this.id,
      address: this.address,
      version: this.version,
    });
    void this.beatOn(boot);
  }

  /** It ends at once, as after SIGKILL: it sends nothing, and its channels are reset. */
  async crash() {
    this.installation.note({ what: 'server crashes', id: this.id, address: this.address });
    this.boot.isUp = false;
    const closed = new Promise((done) => this.server.close(done));
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closed;
  }

  async stop() {
    if (this.boot?.isUp === true) await this.crash();
  }

  async beatOn(boot) {
    while (boot.isUp) {
      await this.beat(boot);
      await sleep(HEARTBEAT_MS);
    }
  }

  /** A heartbeat to the control instance that took the last one, else to one drawn by lot, then to the others. */
  async beat(boot) {
    const { controls } = this.installation;
    const drawn = [...controls].sort(() => Math.random() - 0.5);
    const order =
      this.control === undefined ? drawn : [this.control, ...drawn.filter((one) => one !== this.control)];
    for (const control of order) {
      if (!boot.isUp) return;
      this.beats += 1;
      const body = {
        service: 'pool',
        address: this.address,
        zone: 'kollupitiya',
        version: 'v1',
        slots: this.slots,
        state: 'ready',
        coldRemainingMs: 0,
        stage: 'both',
        models: [{ name: this.model, version: this.version, adapters: [] }],
        seq: this.beats,
      };
      const url = `http://${control}/instances/${boot.id}/heartbeat`;
      const answer = await fetch(url, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(1000),
      }).catch(() => undefined);
      await answer?.text().catch(() => undefined);
      if (answer?.ok === true) {
        if (this.control !== control)
          this.installation.note({ what: 'server reports to', id: boot.id, address: this.address, control });
        this.control = control;
        return;
      }
    }
    this.control = undefined;
  }

  json(response, status, body, headers = {}) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...headers,
    });
    response.end(text);
  }

  async serve(boot, request, response) {
    const parts = [];
    for await (const part of request) parts.push(part);
    const body = Buffer.concat(parts).toString();
    if (!boot.isUp) return;
    const meant = request.headers['x-jasmineroute-expect-instance'];
    const own = {
      'x-jasmineroute-instance-id': boot.id,
      'x-jasmineroute-server-load': `${this.running},0,${this.slots}`,
    };
    if (meant !== undefined && meant !== boot.id) {
      if (request.url === '/order') this.noteOrder(body, 421, meant);
      this.json(response, 421, {}, { ...own, 'x-jasmineroute-not-executed': '1' });
      return;
    }
    if (request.url === '/health') return this.json(response, 200, {}, own);
    if (request.url === '/report') return this.json(response, 200, this.report());
    if (request.url === '/order') return this.order(boot, body, response);
    if (request.url.startsWith('/kv-events')) {
      await sleep(Math.min(1000, Number(request.headers['wait-ms'] ?? 0)));
      return this.json(response, 200, {
        bootEpoch: parseInt(boot.id.slice(2, 6), 16),
        nextToken: 1,
        lost: false,
        events: [],
      });
    }
    if (request.url === '/kv-list')
      return this.json(response, 200, {
        bootEpoch: parseInt(boot.id.slice(2, 6), 16),
        nextToken: 1,
        held: [],
      });
    return this.run(boot, request, response, own);
  }

  report() {
    return {
      stage: 'both',
      models: [{ name: this.model, version: this.version, adapters: [] }],
      busy: this.busy,
      seq: this.seq,
      waiting: 0,
      running: this.running,
      kvUsed: 0,
      kvTotal: 100000,
      handles: 0,
      runs: [],
    };
  }

  noteOrder(body, status, meant) {
    const { version, holder, fence, expect } = JSON.parse(body);
    this.orders.push({ at: now(), status, version, holder, fence });
    this.installation.note({
      what: 'order',
      at: this.address,
      server: this.id,
      meant,
      status,
      version,
      holder,
      fence,
      expect,
    });
  }

  order(boot, body, response) {
    const { op, model, version, holder, fence, expect } = JSON.parse(body);
    let status = 202;
    if (op !== 'version' || holder === undefined || fence === undefined) status = 400;
    else if (fence < this.fence) status = 412;
    else if (this.busy || (expect !== undefined && expect !== this.seq)) status = 409;
    else if (model !== this.model || version > this.installation.named) status = 400;
    else if (version === this.version) status = 200;
    this.noteOrder(body, status, boot.id);
    if (status === 202) {
      this.fence = fence;
      this.seq += 1;
      this.busy = true;
      setTimeout(() => {
        if (!boot.isUp) return;
        this.version = version;
        this.busy = false;
        this.installation.note({ what: 'weights loaded', at: this.address, server: boot.id, version });
      }, this.loadMs);
    }
    this.json(response, status, {});
  }

  /** A stream of events with increasing ids. */
  async run(boot, request, response, own) {
    const { socket } = request;
    // A second answer to the request before on this channel, which arrives late: where the next answer is expected.
    if (this.extras.has(socket)) {
      const { id: before, bytes } = this.extras.get(socket);
      this.extras.delete(socket);
      socket.write(bytes);
      this.installation.note({ what: 'extra answer', of: before, at: this.address });
    }
    const id = request.headers['x-jasmineroute-request-id'];
    if (id === undefined) return this.json(response, 400, {}, { ...own, 'x-jasmineroute-not-executed': '1' });
    const echo = { ...own, 'x-jasmineroute-request-id': id };
    const wanted = request.headers['x-jasmineroute-expect-version'];
    if (wanted !== undefined && Number(wanted) !== this.version)
      return this.json(response, 421, {}, { ...echo, 'x-jasmineroute-not-executed': '1' });
    if (this.busy) return this.json(response, 503, {}, { ...echo, 'x-jasmineroute-not-executed': '1' });
    const run = {
      at: now(),
      id,
      server: boot.id,
      address: this.address,
      version: this.version,
      endedAt: undefined,
    };
    this.runs.push(run);
    this.installation.note({ what: 'run', id, server: boot.id, at: this.address, version: this.version });
    this.running += 1;
    let isDropped = false;
    response.once('close', () => (isDropped = !response.writableFinished));
    const head = {
      ...echo,
      'content-type': 'text/event-stream',
      'x-jasmineroute-server-seal': `seal.${boot.id}.${id}`,
      'x-jasmineroute-weight-versions': String(this.version),
    };
    try {
      // The head says that it has the request; the first event comes when the prompt is read.
      if (this.isHeadFirst) {
        response.writeHead(200, head);
        response.flushHeaders();
      }
      // Queue and prompt: its work, before the first event. A server drops a request when its channel closes.
      for (const due = now() + this.firstMs * this.slowness; now() < due && !isDropped;)
        await sleep(Math.min(10, due - now() + 1));
      if (isDropped || !boot.isUp) return;
      run.firstAt = now();
      if (!this.isHeadFirst) response.writeHead(200, head);
      const after = request.headers['last-event-id'];
      for (let event = after === undefined ? 0 : Number(after) + 1; event < this.events; event += 1) {
        await sleep(this.pauseMs * this.slowness);
        if (!boot.isUp || isDropped) return;
        response.write(eventOf(event));
      }
      response.end();
      run.isWhole = true;
      if (Math.random() < this.extraShare)
        this.extras.set(socket, { id, bytes: secondAnswer(head, this.events) });
    } finally {
      run.endedAt = now();
      this.running -= 1;
      this.installation.note({
        what: 'run ends',
        id,
        server: boot.id,
        at: this.address,
        isWhole: run.isWhole === true,
      });
    }
  }
}

const eventOf = (event) => `id: ${event}\ndata: token ${event}\n\n`;

/** A whole answer, as it is sent a second time. */
function secondAnswer(head, events) {
  const body = Array.from({ length: events }, (_, at) => eventOf(at)).join('');
  const fields = Object.entries({ ...head, 'content-length': Buffer.byteLength(body) });
  return `HTTP/1.1 200 OK\r\n${fields.map(([name, value]) => `${name}: ${value}`).join('\r\n')}\r\n\r\n${body}`;
}
