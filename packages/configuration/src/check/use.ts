/**
 * Checks of what a configuration can be used for. Apart from the checks of its form: a configuration that an older build has
 * accepted stays readable, whatever these say.
 */
import { isHostPort } from '@jasmineroute/core';
import type { Configuration } from '../schema/index.js';

/** Path of a request as it is sent, without its origin. */
const REQUEST_PATH = /^\/[\x21-\x7e]*$/;

/** Characters that no header may hold. */
// eslint-disable-next-line no-control-regex -- control characters are what it looks for
const CONTROL_CHARACTERS = /[\x00-\x08\x0a-\x1f\x7f]/;

/** Problems that a configuration must not be accepted with, as messages for the operator. */
export function refusalsOf({ number, customers = [] }: Configuration): string[] {
  const unnumbered = number === 0 ? ['the number is 0: numbers begin at 1'] : [];
  const unsendable = customers
    .filter(({ name }) => CONTROL_CHARACTERS.test(name))
    .map(({ name }) => `the name of customer ${JSON.stringify(name)} has control characters`);
  return [...unnumbered, ...unsendable];
}

/** What a configuration names that can't be used, as messages for the operator. All else of it can be. */
export function warningsOf({ services }: Configuration): string[] {
  return services.flatMap(({ name, storeAddress, healthPath }) => {
    const found: string[] = [];
    if (storeAddress !== undefined && !isHostPort(storeAddress))
      found.push(`service ${name}: the address of the store, "${storeAddress}", can't be called`);
    if (healthPath !== undefined && !REQUEST_PATH.test(healthPath))
      found.push(`service ${name}: the health path "${healthPath}" can't be requested`);
    return found;
  });
}
