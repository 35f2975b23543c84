/** JSON output: its field names are an interface for scripts and stay as they are. */

/** Indented JSON with a line end. Integers of messages become numbers, times ISO 8601. */
export function formatJson(value: unknown): string {
  return `${JSON.stringify(value, replace, 2)}\n`;
}

function replace(_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? Number(value) : value;
}

/** A time of a message as ISO 8601. */
export function formatTime(ms: bigint): string {
  return new Date(Number(ms)).toISOString();
}
