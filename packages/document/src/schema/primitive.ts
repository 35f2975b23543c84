/** Scalars that the parts of a document share. */
import * as z from 'zod';
import { patternFault } from '../pattern/index.js';

/** Names of services, teams, customers, operators, priorities and adapters. */
export const name = z
  .string()
  .regex(
    /^[a-z0-9](?:[a-z0-9._-]{0,62}[a-z0-9])?$/,
    'must be lower-case letters, digits, ".", "_" and "-", 1 to 64 long, with a letter or digit at both ends',
  )
  .meta({ title: 'name' });

/** SHA-256 of a key, so that documents never hold the key itself. */
export const keyHash = z
  .string()
  .regex(
    /^sha256:[0-9a-f]{64}$/,
    'must be "sha256:" and 64 hexadecimal digits, as jasminectl hash-key prints it',
  )
  .meta({ title: 'key hash' });

const UNIT_MS = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 } as const;
const MAX_DURATION_MS = 366 * UNIT_MS.d;

const parseDuration = (text: string): number => {
  const unit = text.replace(/^[\d.]+/, '') as keyof typeof UNIT_MS;
  return Math.round(Number.parseFloat(text) * UNIT_MS[unit]);
};

/** A duration as text with a unit, "250ms", "30s", "24h"; parsed to milliseconds. */
export const duration = z
  .string()
  .regex(/^\d+(?:\.\d+)?(?:ms|s|m|h|d)$/, 'must be a number with ms, s, m, h or d, as in 250ms or 24h')
  .meta({ title: 'duration' })
  .transform(parseDuration)
  .refine((ms) => ms >= 1 && ms <= MAX_DURATION_MS, 'must be between 1ms and 366d');

/** A path with "*" for one segment and a last "**" for the rest. */
export const pathPattern = z
  .string()
  .max(1_024)
  .superRefine((pattern, context) => {
    const fault = patternFault(pattern);
    if (fault !== undefined) context.addIssue({ code: 'custom', message: fault });
  })
  .meta({ title: 'path pattern' });

/** A host name as callers send it in `Host`, without the port. */
export const host = z
  .string()
  .max(253)
  .regex(/^[a-z0-9]+(?:[.-][a-z0-9]+)*$/, 'must be a lower-case host name without a port')
  .meta({ title: 'host name' });

/** host:port of a process of the system. */
export const address = z
  .string()
  .regex(/^[^\s:]+:\d{1,5}$/, 'must be host:port')
  .meta({ title: 'host:port' });
