/** Number of a process's start. */
import { randomInt } from 'node:crypto';
import type { Clock } from '@jasmineroute/core';

/** Distinct starts within one millisecond. */
const STARTS_PER_MS = 1_000;

/**
 * Larger for each later start of a process under one name, as long as the machine's clock does not go back
 * between two starts. When it does, the newer process is told that it is superseded and stops: an error that
 * operators see, rather than two processes under one name.
 */
export function drawIncarnation(clock: Clock): bigint {
  return BigInt(clock.now().getTime()) * BigInt(STARTS_PER_MS) + BigInt(randomInt(STARTS_PER_MS));
}
