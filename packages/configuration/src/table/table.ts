/** Lookup tables of a configuration, built once when it takes effect. */
import { hostOf } from '../schema/index.js';
import type { Configuration, Customer, Route, Service } from '../schema/index.js';

/** Lookups of routes, services and customers by the values in requests. */
export interface RoutingTable {
  readonly number: number;
  readonly configuration: Configuration;
  /** The route with the longest prefix that matches the path. `host` may include a port. */
  routeOf(host: string, path: string): Route | undefined;
  serviceOf(name: string): Service | undefined;
  /** The customer that holds a key. */
  customerOf(key: string): Customer | undefined;
  /** Whether requests need a key on routes that are not open. */
  readonly needsKeys: boolean;
  /** Number of the configuration that began the common salt; 0: the first one. */
  readonly sharedSince: number;
  /**
   * The beginning of the salt of a customer's cached parts. A customer that is isolated has one of its own, and so has one that the
   * configuration does not name: nobody would know that it has parts under the common salt.
   * @param name absent: a request without a customer, which shares.
   */
  cacheScopeOf(name: string | undefined): string;
}

/** Who shares cached parts under the common salt: customers that are not isolated under any of their keys. */
function sharersOf(customers: readonly Customer[] = []): ReadonlySet<string> {
  const isolated = new Set(customers.filter((one) => one.isolated).map(({ name }) => name));
  return new Set(customers.map(({ name }) => name).filter((name) => !isolated.has(name)));
}

/** Routes by host, those with the longest prefix first. */
function routesByHost(routes: readonly Route[]): Map<string, Route[]> {
  const table = new Map<string, Route[]>();
  for (const route of routes) {
    const host = hostOf(route.host);
    const existing = table.get(host);
    if (existing === undefined) table.set(host, [route]);
    else existing.push(route);
  }
  for (const list of table.values()) list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  return table;
}

/**
 * Builds the lookup tables of a configuration.
 * @param sharedSince number of the configuration that began the common salt; 0: the first one, which has the text that it always had.
 */
export function routingTable(configuration: Configuration, sharedSince = 0): RoutingTable {
  const sharers = sharersOf(configuration.customers);
  const commonScope = sharedSince === 0 ? '' : `shared-${sharedSince} `;
  const routes = routesByHost(configuration.routes);
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  const customers = new Map(
    (configuration.customers ?? []).flatMap((customer) => customer.keys.map((key) => [key, customer])),
  );
  return {
    number: configuration.number,
    configuration,
    needsKeys: configuration.customers !== undefined,
    routeOf: (host, path) => {
      const pathname = path.split('?', 1)[0] ?? path;
      return routes.get(hostOf(host))?.find(({ pathPrefix }) => pathname.startsWith(pathPrefix));
    },
    serviceOf: (name) => services.get(name),
    customerOf: (key) => customers.get(key),
    sharedSince,
    cacheScopeOf: (name) => (name === undefined || sharers.has(name) ? commonScope : `customer-${name} `),
  };
}
