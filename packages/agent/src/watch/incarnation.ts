/**
 * The announced incarnation of a target: that of the engine together with that of its agent. A new engine has an empty
 * cache. A new agent does not know the attempts of its predecessor, so it must be able to tell messages for the
 * predecessor from those for itself.
 */

const SEPARATOR = '/';

/** Combines the incarnations of engine and agent. */
export function targetIncarnation(engine: string, agent: bigint): string {
  return `${engine}${SEPARATOR}${agent}`;
}

/** Whether an incarnation belongs to this agent process, with any engine. */
export function isOfAgent(incarnation: string, agent: bigint): boolean {
  return incarnation.endsWith(`${SEPARATOR}${agent}`);
}

/** Whether an incarnation belongs to this engine process, with any agent. */
export function isOfEngine(incarnation: string, engine: string): boolean {
  return incarnation.startsWith(`${engine}${SEPARATOR}`);
}
