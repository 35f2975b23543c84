/** Finds the customer of a request. */
import type { Customer, Document, RoutedService } from '../schema/index.js';
import { hashKey } from './key.js';

/**
 * Customers of one document by the hash of their keys: one lookup for each request, however many customers.
 * The key itself is never compared, so how long a lookup takes tells nothing about the keys that exist.
 */
export class CustomerIndex {
  private readonly byHash = new Map<string, Customer>();

  constructor(customers: readonly Customer[]) {
    for (const customer of customers) {
      for (const hash of customer.keys) this.byHash.set(hash, customer);
    }
  }

  /** The customer that a key in the clear belongs to. */
  find(key: string): Customer | undefined {
    return this.byHash.get(hashKey(key));
  }
}

/** Documents are replaced as a whole and never changed, so an index lives as long as its document. */
const indexes = new WeakMap<Document, CustomerIndex>();

/** The customer that a bearer key names in a document, or undefined. */
export function customerOf(document: Document, bearerKey: string): Customer | undefined {
  if (document.kind === 'control') return undefined;
  return indexOf(document).find(bearerKey);
}

function indexOf(service: RoutedService): CustomerIndex {
  const known = indexes.get(service);
  if (known !== undefined) return known;
  const index = new CustomerIndex(service.customers);
  indexes.set(service, index);
  return index;
}

/** Level of the customer's priority class: larger runs first. */
export function priorityLevel(service: RoutedService, customer: Customer): number {
  const priority = service.priorities.find((candidate) => candidate.name === customer.priority);
  return priority?.level ?? 0;
}

/** The operator whose key this is, or undefined. */
export function operatorOf(document: Document, key: string): string | undefined {
  const hash = hashKey(key);
  const entry = Object.entries(document.owner.operators).find(([, known]) => known === hash);
  return entry?.[0];
}
