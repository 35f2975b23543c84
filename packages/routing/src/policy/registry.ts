/** All policies by name, earlier versions of the default among them. */
import { Registry } from '@jasmineroute/core';
import { LeastOutstanding } from './leastOutstanding.js';
import type { PolicyFactory } from './policy.js';
import { RendezvousProbe } from './probing.js';
import { Rendezvous } from './rendezvous.js';
import { RoundRobin } from './roundRobin.js';

/** Policies that a document or the bench tool can name. */
export const policies = new Registry<PolicyFactory>('policy')
  .add('round-robin', (context) => new RoundRobin(context.seed))
  .add('least-outstanding', (context) => new LeastOutstanding(context.seed))
  .add('rendezvous', () => new Rendezvous())
  .add('rendezvous-probe', (context) => new RendezvousProbe(context))
  .add('default', (context) => new RendezvousProbe(context));
