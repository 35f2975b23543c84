/** A configuration as lookups, made once when it comes into force. */
import { hostOf } from '../schema/index.js';
import type { Configuration, Customer, Route, Service } from '../schema/index.js';

/** Routes, services and customers by what requests name. */
export interface RoutingTable {
  readonly number: number;
  readonly configuration: Configuration;
  /** The route with the longest prefix that begins the path. `host` may carry a port. */
  routeOf(host: string, path: string): Route | undefined;
  serviceOf(name: string): Service | undefined;
  /** The customer that holds a key. */
  customerOf(key: string): Customer | undefined;
  /** Whether requests of routes that are not open need a key. */
  readonly needsKeys: boolean;
}

/** Routes of one host, the longest prefix first. */
function byHost(routes: readonly Route[]): Map<string, Route[]> {
  const table = new Map<string, Route[]>();
  for (const route of routes) {
    const host = hostOf(route.host);
    const known = table.get(host);
    if (known === undefined) table.set(host, [route]);
    else known.push(route);
  }
  for (const list of table.values()) list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  return table;
}

/** Makes the lookups of a configuration. */
export function routingTable(configuration: Configuration): RoutingTable {
  const routes = byHost(configuration.routes);
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  const customers = new Map(
    (configuration.customers ?? []).flatMap((customer) => customer.keys.map((key) => [key, customer])),
  );
  return {
    number: configuration.number,
    configuration,
    needsKeys: configuration.customers !== undefined,
    routeOf: (host, path) => {
      const bare = path.split('?', 1)[0] ?? path;
      return routes.get(hostOf(host))?.find(({ pathPrefix }) => bare.startsWith(pathPrefix));
    },
    serviceOf: (name) => services.get(name),
    customerOf: (key) => customers.get(key),
  };
}
