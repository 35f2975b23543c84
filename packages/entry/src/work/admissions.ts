/** Admission control for each service, following the current documents. */
import { Admission } from '@jasmineroute/routing';
import type { AdmissionRules, CustomerRules } from '@jasmineroute/routing';
import type { Clock } from '@jasmineroute/core';
import type { Instance, View } from '@jasmineroute/directory';
import type { RoutedService } from '@jasmineroute/document';

/** Cached customer rules. An entry is garbage-collected together with its document. */
const customerRules = new WeakMap<RoutedService, ReadonlyMap<string, CustomerRules>>();

function rulesOf(service: RoutedService): ReadonlyMap<string, CustomerRules> {
  const existing = customerRules.get(service);
  if (existing !== undefined) return existing;
  const rules = new Map<string, CustomerRules>(
    service.customers.map(({ name, share, limits }) => [name, { share, ...limits }]),
  );
  customerRules.set(service, rules);
  return rules;
}

const isServing = ({ role, health }: Instance): boolean =>
  role === 'entry' && (health === 'alive' || health === 'suspect');

/** Totals over the instances that admission needs; recomputed only when the view has a new map of instances. */
interface InstanceCounts {
  readonly instances: View['instances'];
  readonly entries: number;
  readonly capacity: ReadonlyMap<string, number>;
}

function countInstances(instances: View['instances']): InstanceCounts {
  let entries = 0;
  const capacity = new Map<string, number>();
  for (const instance of instances.values()) {
    if (isServing(instance)) entries += 1;
    const { target, health } = instance;
    if (target?.ready !== true || health === 'down' || health === 'leaving') continue;
    capacity.set(target.service, (capacity.get(target.service) ?? 0) + target.capacity);
  }
  return { instances, entries: Math.max(1, entries), capacity };
}

/** Creates and keeps one `Admission` for each service. */
export class Admissions {
  private readonly admissions = new Map<string, Admission>();
  private counts: InstanceCounts = countInstances(new Map());

  constructor(
    private readonly view: () => View,
    private readonly clock: Clock,
  ) {}

  /** Admission control of a service, created on first use. */
  of(service: string): Admission {
    const existing = this.admissions.get(service);
    if (existing !== undefined) return existing;
    const created = new Admission({ clock: this.clock, rules: () => this.rules(service) });
    this.admissions.set(service, created);
    return created;
  }

  private rules(service: string): AdmissionRules {
    const { documents, instances } = this.view();
    if (this.counts.instances !== instances) this.counts = countInstances(instances);
    const document = documents.get(service)?.document;
    const { entries, capacity } = this.counts;
    const shared = { capacity: capacity.get(service) ?? 0, liveEntries: entries };
    if (document === undefined || document.kind === 'control')
      return { customers: new Map(), queue: 0, ...shared };
    return { customers: rulesOf(document), queue: document.limits.queue, ...shared };
  }
}
