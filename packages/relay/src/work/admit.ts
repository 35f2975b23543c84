/** Finds the route and the customer of a request. */
import type { Customer, Route, RoutingTable } from '@jasmineroute/configuration';
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RelayRequest } from '../dialect/index.js';

/** Route and customer of a request, according to a configuration. */
export interface Admitted {
  /** Number of the configuration. */
  readonly configuration: number;
  readonly route: Route;
  readonly customer?: Customer;
}

/** The route and customer of a request. Errors: unknown-route, unauthenticated. */
export function admit(table: RoutingTable, request: RelayRequest): Result<Admitted, Fault> {
  const route = table.routeOf(request.host, request.path);
  if (route === undefined) return err(fault('unknown-route', `no route for ${request.host}${request.path}`));
  const customer = request.key === undefined ? undefined : table.customerOf(request.key);
  const needsKey = table.needsKeys && !route.open;
  if (needsKey && customer === undefined) return err(fault('unauthenticated', 'unknown API key'));
  return ok({ configuration: table.number, route, customer });
}
