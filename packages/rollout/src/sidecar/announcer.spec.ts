import { create } from '@bufbuild/protobuf';
import { ManualClock, fault, silentLog } from '@jasmineroute/core';
import { ChangeSignal } from '@jasmineroute/directory';
import { ClusterView } from '@jasmineroute/knowledge';
import { Peers, controlMessage, listen } from '@jasmineroute/protocol';
import type { RpcServer } from '@jasmineroute/protocol';
import { err, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { TargetPort } from '../port/index.js';
import { Announcer } from './announcer.js';

const ADDRESS = '10.0.0.1:80';

describe('the announcer of a target', () => {
  let server: RpcServer;
  let peers: Peers;
  let announced: controlMessage.AnnouncedTarget[];
  let knowledge: ClusterView;
  let isUp: boolean;
  let isServing: boolean;
  let checks: string[];
  const clock = new ManualClock();

  beforeEach(async () => {
    announced = [];
    checks = [];
    isUp = true;
    isServing = true;
    server = await listen('127.0.0.1', 0, (router) => {
      router.service(controlMessage.Configurations, {
        announce: (target) => {
          announced.push(target);
          return {};
        },
      });
    });
    peers = new Peers();
    knowledge = new ClusterView(clock, silentLog);
  });

  afterEach(async () => {
    peers.close();
    await server.close();
  });

  const configure = (): void => {
    const services = [{ name: 's', healthPath: '/alive' }];
    const content = Buffer.from(JSON.stringify({ number: 1, routes: [], services, customers: [] }));
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { number: 1n, content }), true);
  };

  const announcer = (): Announcer => {
    const report = {
      weights: new Map([['m', 3]]),
      busy: false,
      orders: 0,
      waiting: 0,
      running: 0,
      unstarted: 0,
    };
    const down = err(fault('target-unreachable', 'it is down'));
    const port = {
      report: () => Promise.resolve(isUp ? ok(report) : down),
      identity: (path: string) => {
        checks.push(path);
        return Promise.resolve(isServing ? ok({ name: 't1', born: 7, capacity: 96 }) : down);
      },
    } as unknown as TargetPort;
    const place = { address: ADDRESS, service: 's', dataCentre: 'here' };
    const controls = (): string[] => [server.address];
    const changes = new ChangeSignal();
    return new Announcer({ ...place, changes, port, knowledge, controls, peers, clock, log: silentLog });
  };

  it('announces an unknown target with its weights', async () => {
    // Guards against callers that are refused, or all sent to the first targets that called, after a loss of all instances:
    // control has just started, the last heartbeat of each target failed, and the next one is due 1.2 s later.
    configure();
    expect(await announcer().poll()).toBe(true);
    expect(announced).toMatchObject([
      { name: 't1', born: 7n, service: 's', address: ADDRESS, dataCentre: 'here', capacity: 96 },
    ]);
    expect(announced[0]?.weights).toMatchObject([{ model: 'm', version: 3n }]);
    expect(checks).toEqual(['/alive']);
  });

  it('pauses after a target has refused the identity request', async () => {
    // Guards against ten health checks a second at a target that drains: it is unknown to control, and each poll requests
    // its identity, which it refuses.
    configure();
    isServing = false;
    expect(await announcer().poll()).toBe(true);
    expect(announced).toEqual([]);
  });

  it('requests no identity of a target that is known, down, or of no configured service', async () => {
    expect(await announcer().poll()).toBe(false);
    configure();
    isUp = false;
    expect(await announcer().poll()).toBe(false);
    isUp = true;
    const { READY } = controlMessage.Announcement;
    const known = { id: 't1', service: 's', address: ADDRESS, announcement: READY };
    const targets = [create(controlMessage.AnnouncedTargetSchema, known)];
    knowledge.apply('c1', create(controlMessage.FollowEventSchema, { targets }), false);
    expect(await announcer().poll()).toBe(false);
    expect(checks).toEqual([]);
    expect(announced).toEqual([]);
  });
});
