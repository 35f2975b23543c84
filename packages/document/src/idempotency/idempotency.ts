/** Tells which calls may not be repeated. */
import { matchesPattern, readPath, segmentsOf } from '../pattern/index.js';
import type { NonIdempotentRule, RoutedService } from '../schema/index.js';

/** What a rule looks at. */
export interface Call {
  readonly method: string;
  /** Path as the caller sent it; a query is ignored. */
  readonly path: string;
  /** "name" or "name:adapter"; absent for plain services. */
  readonly model?: string;
  /** Name of the customer; absent where none is asked for. */
  readonly customer?: string;
}

/** Whether a service's document says that a call may not be repeated. */
export function nonIdempotentFor(service: RoutedService, call: Call): boolean {
  return service.nonIdempotent.some((rule) => matchesRule(rule, call));
}

function matchesRule(rule: NonIdempotentRule, call: Call): boolean {
  if (!matchesMethod(rule, call)) return false;
  if (!matchesModel(rule, call)) return false;
  if (!matchesCustomer(rule, call)) return false;
  return matchesPath(rule, call);
}

function matchesMethod(rule: NonIdempotentRule, call: Call): boolean {
  const methods: readonly string[] | undefined = rule.methods;
  return methods === undefined || methods.includes(call.method.toUpperCase());
}

function matchesModel(rule: NonIdempotentRule, call: Call): boolean {
  if (rule.models === undefined) return true;
  if (call.model === undefined) return false;
  const [base = ''] = call.model.split(':', 1);
  return rule.models.includes(call.model) || rule.models.includes(base);
}

function matchesCustomer(rule: NonIdempotentRule, call: Call): boolean {
  if (rule.customers === undefined) return true;
  return call.customer !== undefined && rule.customers.includes(call.customer);
}

function matchesPath(rule: NonIdempotentRule, call: Call): boolean {
  if (rule.path === undefined) return true;
  const path = readPath(call.path);
  // A path with more than one reading may be the named call at the target: running it twice is the worse error.
  if (path === undefined) return true;
  return matchesPattern(segmentsOf(rule.path), path);
}
