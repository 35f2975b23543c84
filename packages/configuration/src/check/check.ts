/** Checks that need more than one field of a configuration. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { configuration, hostOf } from '../schema/index.js';
import type { Configuration, Route } from '../schema/index.js';

/** Gives what is wrong, in the words of an operator's error message. */
type Check = (subject: Configuration) => string[];

/** Values that stand more than once. */
function repeated(values: readonly string[]): string[] {
  const seen = new Set<string>();
  const twice = new Set<string>();
  for (const value of values) {
    if (seen.has(value)) twice.add(value);
    seen.add(value);
  }
  return [...twice];
}

const placeOf = ({ host, pathPrefix }: Route): string => `${hostOf(host)}${pathPrefix}`;

const unknownServices: Check = ({ routes, services }) => {
  const known = new Set(services.map(({ name }) => name));
  return routes.flatMap((route) =>
    route.services
      .filter(({ service }) => !known.has(service))
      .map(({ service }) => `route ${route.name} names the unknown service ${service}`),
  );
};

const samePlaces: Check = ({ routes }) =>
  repeated(routes.map(placeOf)).map((place) => `two routes stand at ${place}`);

const noWeight: Check = ({ routes }) =>
  routes
    .filter(({ services }) => services.reduce((sum, { weight }) => sum + weight, 0) === 0)
    .map(({ name }) => `the weights of route ${name} add up to 0`);

const noTime: Check = ({ routes }) =>
  routes.filter(({ timeoutMs }) => timeoutMs === 0).map(({ name }) => `route ${name} has no time`);

/** The key itself is a secret: only the customers are named. */
const sharedKeys: Check = ({ customers = [] }) => {
  const keys = customers.flatMap((customer) => [...new Set(customer.keys)]);
  const shared = repeated(keys);
  return shared.map((key) => {
    const holders = customers.filter((customer) => customer.keys.includes(key)).map(({ name }) => name);
    return `customers ${holders.join(' and ')} share a key`;
  });
};

const checks: readonly Check[] = [unknownServices, samePlaces, noWeight, noTime, sharedKeys];

/** A configuration from decoded data. Errors: invalid-document, with every problem in one message. */
export function checkConfiguration(data: unknown): Result<Configuration, Fault> {
  const parsed = configuration.safeParse(data);
  if (!parsed.success) {
    const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
    return err(fault('invalid-document', problems.join('; ')));
  }
  const problems = checks.flatMap((check) => check(parsed.data));
  if (problems.length > 0) return err(fault('invalid-document', problems.join('; ')));
  return ok(parsed.data);
}
