/** Chooses the target for a call from candidates, the routing policy and probes. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { fault } from '@jasmineroute/core';
import type { Clock, Fault, Metrics } from '@jasmineroute/core';
import type { View } from '@jasmineroute/directory';
import type { RoutedService } from '@jasmineroute/document';
import { encodeChain, policies } from '@jasmineroute/routing';
import type { Candidate, Job, Policy, ProbeReading } from '@jasmineroute/routing';
import { candidatesOf } from '../call/index.js';
import type { Call, GateCandidate, RequestedModel } from '../call/index.js';
import { entryMetrics } from '../metrics.js';
import { readingOf } from './gateMessages.js';
import type { GateClients } from '../gate/index.js';

/** A chosen target. */
export interface Placement {
  readonly candidate: GateCandidate;
  readonly policy: Policy;
  /** Address of the gate to import KV cache from; empty: none. */
  readonly importFrom: string;
}

/** Dependencies and settings of `Decisions`. */
export interface DecisionOptions {
  readonly view: () => View;
  readonly clients: GateClients;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  readonly probeTimeoutMs: number;
  readonly seed: number;
}

/** Policy of plain services: without prompts there is no cache affinity to consider. */
const PLAIN_POLICY = 'least-outstanding';
const FALLBACK_POLICY = 'default';

interface NamedPolicy {
  readonly name: string;
  readonly policy: Policy;
}

/** Whether a candidate has the software version that began the answer. Engines that publish none are taken as one version. */
const mayContinue = ({ softwareVersion }: Job, candidate: GateCandidate): boolean =>
  softwareVersion === undefined || softwareVersion === (candidate.softwareVersion ?? '');

/** Chooses targets for all services of one entry. */
export class Decisions {
  private readonly policyByService = new Map<string, NamedPolicy>();

  constructor(private readonly options: DecisionOptions) {}

  /** Chooses a target. A fault means that nothing was sent. */
  async place(call: Call, model: RequestedModel | undefined, job: Job): Promise<Result<Placement, Fault>> {
    const { view, clock, metrics } = this.options;
    const all = candidatesOf(call, model, view());
    const open = all.filter((candidate) => !job.excluded.has(candidate.name) && mayContinue(job, candidate));
    if (open.length === 0) return err(this.noTargetFault(call, all.length));
    const policy = this.policyOf(call.service);
    const began = clock.monotonic();
    const choice = await policy.choose(job, open);
    metrics.timing(entryMetrics.decision, clock.monotonic() - began);
    const candidate = open.find(({ name }) => name === choice.order[0]?.name);
    if (candidate === undefined) return err(fault('no-target', 'no target accepts requests now'));
    const importFrom = open.find(({ name }) => name === choice.importFrom)?.address ?? '';
    return ok({ candidate, policy, importFrom });
  }

  private noTargetFault(call: Call, excluded: number): Fault {
    const { service } = call.service;
    if (excluded > 0) return fault('no-target', `no further target of ${service} can run the request`);
    const instances = [...this.options.view().instances.values()];
    const ready = instances.some(
      ({ target, health }) => target?.service === service && target.ready && health === 'alive',
    );
    if (ready && call.model !== undefined) {
      return fault('model-not-loaded', `no target of ${service} has this version of the model loaded`);
    }
    return fault('no-target', `no target of ${service} is ready`);
  }

  private policyOf(service: RoutedService): Policy {
    const wanted = service.kind === 'model' ? service.policy : PLAIN_POLICY;
    const existing = this.policyByService.get(service.service);
    if (existing?.name === wanted) return existing.policy;
    const factory = policies.find(wanted) ?? policies.get(FALLBACK_POLICY);
    const { clock, dataCentre, seed } = this.options;
    const policy = factory({
      clock,
      dataCentre,
      seed,
      probe: (candidate, job) => this.probe(candidate, job),
    });
    this.policyByService.set(service.service, { name: wanted, policy });
    return policy;
  }

  private async probe(candidate: Candidate, job: Job): Promise<ProbeReading | undefined> {
    const { view, clients, clock, probeTimeoutMs } = this.options;
    const address = view().instances.get(candidate.name)?.address;
    if (address === undefined) return undefined;
    const timeout = new AbortController();
    const cancelTimer = clock.after(probeTimeoutMs, () => {
      timeout.abort();
    });
    try {
      const answer = await clients.client(clients.connection(address)).probe(
        {
          service: job.service,
          model: job.model,
          weightsVersion: job.weightsVersion ?? '',
          chain: encodeChain(job.chain),
          promptTokens: job.promptTokens,
          priority: job.priority,
        },
        { signal: timeout.signal },
      );
      return readingOf(answer);
    } catch {
      return undefined;
    } finally {
      cancelTimer();
    }
  }
}
