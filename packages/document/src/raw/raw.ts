/** Looks into data that may have any shape, so that one fault does not hide the next. */

/** Whether a value is a map. */
export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The list under a key; empty when there is none. */
export function listAt(value: unknown, key: string): unknown[] {
  if (!isRecord(value)) return [];
  const list = value[key];
  return Array.isArray(list) ? list : [];
}

/** The text under a key. */
export function textAt(value: unknown, key: string): string | undefined {
  if (!isRecord(value)) return undefined;
  const text = value[key];
  return typeof text === 'string' ? text : undefined;
}

/** The map under a key; empty when there is none. */
export function recordAt(value: unknown, key: string): Record<string, unknown> {
  if (!isRecord(value)) return {};
  const record = value[key];
  return isRecord(record) ? record : {};
}

/** Texts of a list, each with its index. */
export function textsAt(value: unknown, key: string): { text: string; index: number }[] {
  return listAt(value, key).flatMap((text, index) => (typeof text === 'string' ? [{ text, index }] : []));
}
