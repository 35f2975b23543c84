/** Lines of parts that are found at fault after the text was read. */
import { readSource } from './source.js';

/** Line of the part at a path such as "models.0.name", or of the closest part around it. */
export function lineOfPath(text: string, path: string): number {
  return readSource(text).lineOf(path.split('.'));
}
