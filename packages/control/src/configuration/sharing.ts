/**
 * Which customers have cached parts under the common salt. Targets and stores keep parts for as long as they like and nobody can
 * delete them, so parts that a customer has shared stay under that salt when it becomes isolated.
 */
import { create } from '@bufbuild/protobuf';
import { stateMessage } from '@jasmineroute/protocol';
import * as z from 'zod';

/** Who has cached parts under the present common salt. */
export interface Sharing {
  /** Number of the configuration that began the salt; 0: the first one. */
  readonly since: bigint;
  /** All customers that were not isolated at some time since then, also those that are gone. */
  readonly customers: ReadonlySet<string>;
}

/** Customers of a configuration, by name. */
export interface CustomerNames {
  readonly shared: readonly string[];
  readonly isolated: readonly string[];
}

/** A customer, as far as it matters here. */
interface NamedCustomer {
  readonly name: string;
  readonly isolated: boolean;
}

const namedCustomer = z.object({ name: z.string(), isolated: z.boolean() });
const configuredCustomers = z.object({ customers: z.array(namedCustomer).optional() });

/** The names of customers. One that is isolated under one of several keys is isolated. */
export function namesOf(customers: readonly NamedCustomer[] = []): CustomerNames {
  const isolated = new Set(customers.filter((one) => one.isolated).map(({ name }) => name));
  const shared = customers.map(({ name }) => name).filter((name) => !isolated.has(name));
  return { shared: [...new Set(shared)], isolated: [...isolated] };
}

/** The names in a configuration as it is held; none if it can't be read. */
export function namesIn(content: Uint8Array): CustomerNames {
  return namesOf(customersIn(content));
}

function customersIn(content: Uint8Array): readonly NamedCustomer[] | undefined {
  try {
    return configuredCustomers.parse(JSON.parse(new TextDecoder().decode(content))).customers;
  } catch {
    // Followers report a configuration that can't be read.
    return undefined;
  }
}

/** Who shares under the first salt when nothing is known but one configuration. */
export const firstSharing = ({ shared }: CustomerNames): Sharing => ({
  since: 0n,
  customers: new Set(shared),
});

/** Who shares under a configuration: it begins a new salt if it isolates a customer that has parts under the salt before. */
export function nextSharing(before: Sharing, number: bigint, { shared, isolated }: CustomerNames): Sharing {
  const isNewSalt = isolated.some((name) => before.customers.has(name));
  if (isNewSalt) return { since: number, customers: new Set(shared) };
  return { since: before.since, customers: new Set([...before.customers, ...shared]) };
}

export const encodeNames = ({ shared, isolated }: CustomerNames): stateMessage.CustomerNames =>
  create(stateMessage.CustomerNamesSchema, { shared: [...shared], isolated: [...isolated] });

/** As it is written; sorted, so that equal states have equal bytes. */
export const encodeSharing = ({ since, customers }: Sharing): stateMessage.Sharing =>
  create(stateMessage.SharingSchema, { since, customers: [...customers].sort() });

export const decodeSharing = ({ since, customers }: stateMessage.Sharing): Sharing => ({
  since,
  customers: new Set(customers),
});
