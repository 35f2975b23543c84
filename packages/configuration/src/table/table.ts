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

/** Builds the lookup tables of a configuration. */
export function routingTable(configuration: Configuration): RoutingTable {
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
  };
}
