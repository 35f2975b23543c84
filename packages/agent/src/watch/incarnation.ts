/**
 * The incarnation of a target as the rest of the system sees it: that of the engine and that of its agent.
 * Both matter. A new engine has an empty cache; a new agent has forgotten which attempts its predecessor
 * took, so a message for the predecessor must not be taken for one that it has never seen.
 */

const SEPARATOR = '/';

/** Joins the two. */
export function targetIncarnation(engine: string, agent: bigint): string {
  return `${engine}${SEPARATOR}${agent}`;
}

/** Whether an incarnation names this agent process, whatever its engine was. */
export function isOfAgent(incarnation: string, agent: bigint): boolean {
  return incarnation.endsWith(`${SEPARATOR}${agent}`);
}

/** Whether an incarnation names this engine process, whatever its agent was. */
export function isOfEngine(incarnation: string, engine: string): boolean {
  return incarnation.startsWith(`${engine}${SEPARATOR}`);
}
