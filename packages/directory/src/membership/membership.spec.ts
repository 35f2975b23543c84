import { create } from '@bufbuild/protobuf';
import { FailureDetector, detectorSettings } from '@jasmineroute/coordination';
import { ManualClock, silentLog } from '@jasmineroute/core';
import { Peers, controlMessage } from '@jasmineroute/protocol';
import { describe, expect, it } from 'vitest';
import { Membership } from './membership.js';
import type { Probe } from './probe.js';

const { ALIVE, LEAVING } = controlMessage.Health;

function instance(name: string, change: Partial<controlMessage.Instance> = {}): controlMessage.Instance {
  const role = controlMessage.Role.AGENT;
  const state = { name, incarnation: 1n, sequence: 1n, health: ALIVE, address: '127.0.0.1:1', role };
  return Object.assign(create(controlMessage.InstanceSchema, state), change);
}

function setUp(probe: Probe = () => Promise.resolve('unreachable')) {
  const clock = new ManualClock();
  const settings = detectorSettings.parse({});
  const vouched = (): boolean => true;
  const detector = new FailureDetector({ observer: 'c1', incarnation: 1n, clock, settings, vouched });
  const { tickMs } = settings;
  const [peers, log] = [new Peers(), silentLog];
  const options = { name: 'c1', incarnation: 1n, detector, tickMs, peers, clock, log, vouched, probe };
  const membership = new Membership({ ...options, controls: () => [] });
  const beat = (of: controlMessage.Instance, full = true): controlMessage.BeatResponse =>
    membership.beat(create(controlMessage.BeatRequestSchema, { instance: of, full }));
  return { clock, membership, beat };
}

describe('Membership', () => {
  it('asks for the full state when a short heartbeat refers to one that it does not have', () => {
    // A target must not stay listed with the model that its engine had before. Heartbeats carry the state only when
    // it changes, and the change may have been sent to another control instance that has stopped since.
    const { membership, beat } = setUp();
    expect(beat(instance('a1'), false).resend).toBe(true);
    expect(membership.current().size).toBe(0);
    expect(beat(instance('a1')).resend).toBe(false);
    expect(beat(instance('a1'), false).resend).toBe(false);
    expect(beat(instance('a1', { sequence: 2n }), false).resend).toBe(true);
    expect(membership.current().get('a1')?.health).toBe('alive');
  });

  it('tells an older process that it is superseded, and keeps the state of the newer one', () => {
    const { membership, beat } = setUp();
    beat(instance('a1', { incarnation: 2n, address: '127.0.0.1:2' }));
    expect(beat(instance('a1', { sequence: 9n })).superseded).toBe(true);
    expect(membership.current().get('a1')).toMatchObject({ incarnation: 2n, address: '127.0.0.1:2' });
  });

  it('notifies listeners of a changed state at once, but not of a changed revision', () => {
    const { membership, beat } = setUp();
    const notified: string[] = [];
    membership.onChange((names) => notified.push(...names));
    beat(instance('a1'));
    beat(instance('a1', { revision: 7n }), false);
    expect(notified).toEqual(['a1']);
    expect(membership.reported()[0]?.revision).toBe(7n);
    beat(instance('a1', { sequence: 2n, address: '127.0.0.1:9' }));
    expect(notified).toEqual(['a1', 'a1']);
    expect(membership.current().get('a1')?.address).toBe('127.0.0.1:9');
    beat(instance('a1', { sequence: 3n, health: LEAVING }));
    expect(membership.current().get('a1')?.health).toBe('leaving');
  });

  it('lists a crashed process as down in under 2.5 s, and a paused one as suspect', async () => {
    // Requests must not wait for a dead target, and a target paused for 3 s must not lose all its cached work. Both
    // stop sending heartbeats; only a connection attempt distinguishes them.
    const probe: Probe = (address) => Promise.resolve(address.endsWith(':1') ? 'refused' : 'accepted');
    const { clock, membership, beat } = setUp(probe);
    membership.start(() => instance('c1', { role: controlMessage.Role.CONTROL }));
    beat(instance('a1'));
    beat(instance('a2', { address: '127.0.0.1:2' }));
    await clock.advance(2_500);
    expect(membership.current().get('a1')?.health).toBe('down');
    await clock.advance(2_500);
    expect(membership.current().get('a2')?.health).toBe('suspect');
    const stopped = membership.stop();
    await clock.advance(1_000);
    await stopped;
  });
});
