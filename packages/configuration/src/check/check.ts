/** Checks of a configuration that involve more than one field. */
import { fault } from '@jasmineroute/core';
import type { Fault } from '@jasmineroute/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { configuration, hostOf } from '../schema/index.js';
import type { Configuration, Route } from '../schema/index.js';

/** Returns the problems found, as messages for the operator. */
type Rule = (subject: Configuration) => string[];

/** Values that occur more than once. */
function duplicatesOf(values: readonly string[]): string[] {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const value of values) {
    if (seen.has(value)) duplicates.add(value);
    seen.add(value);
  }
  return [...duplicates];
}

const matchKeyOf = ({ host, pathPrefix }: Route): string => `${hostOf(host)}${pathPrefix}`;

const unknownServices: Rule = ({ routes, services }) => {
  const known = new Set(services.map(({ name }) => name));
  return routes.flatMap((route) =>
    route.services
      .filter(({ service }) => !known.has(service))
      .map(({ service }) => `route ${route.name} refers to the unknown service ${service}`),
  );
};

const duplicateMatches: Rule = ({ routes }) =>
  duplicatesOf(routes.map(matchKeyOf)).map((matchKey) => `two routes match ${matchKey}`);

const zeroWeights: Rule = ({ routes }) =>
  routes
    .filter(({ services }) => services.reduce((sum, { weight }) => sum + weight, 0) === 0)
    .map(({ name }) => `the weights of route ${name} add up to 0`);

const zeroTimeouts: Rule = ({ routes }) =>
  routes.filter(({ timeoutMs }) => timeoutMs === 0).map(({ name }) => `route ${name} has a timeout of 0`);

/** The key itself is secret, so the message names only the customers. */
const sharedKeys: Rule = ({ customers = [] }) => {
  const keys = customers.flatMap((customer) => [...new Set(customer.keys)]);
  const duplicates = duplicatesOf(keys);
  return duplicates.map((key) => {
    const holders = customers.filter((customer) => customer.keys.includes(key)).map(({ name }) => name);
    return `customers ${holders.join(' and ')} share a key`;
  });
};

const rules: readonly Rule[] = [unknownServices, duplicateMatches, zeroWeights, zeroTimeouts, sharedKeys];

/** Checks decoded data and returns the configuration. Errors: invalid-document, with all problems in one message. */
export function checkConfiguration(data: unknown): Result<Configuration, Fault> {
  const parsed = configuration.safeParse(data);
  if (!parsed.success) {
    const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
    return err(fault('invalid-document', problems.join('; ')));
  }
  const problems = rules.flatMap((rule) => rule(parsed.data));
  if (problems.length > 0) return err(fault('invalid-document', problems.join('; ')));
  return ok(parsed.data);
}
