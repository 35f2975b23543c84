/** A fault in a document, with its place. */

/** One fault. */
export interface Problem {
  /** Path inside the document, "customers.0.name"; empty for the document as a whole. */
  readonly path: string;
  /** Line in the text, from 1; 0 where there is no text, as between two documents. */
  readonly line: number;
  readonly message: string;
}

/** A path as keys and indexes. */
export type Path = readonly (string | number)[];

/** A fault before its line is known. */
export interface PathFault {
  readonly path: Path;
  readonly message: string;
}

/** "customers.0.name". */
export function pathText(path: Path): string {
  return path.join('.');
}

/** One line for people: "line 7: customers.0.name: is required". */
export function problemText(problem: Problem): string {
  const line = problem.line === 0 ? '' : `line ${problem.line}: `;
  const path = problem.path === '' ? '' : `${problem.path}: `;
  return line + path + problem.message;
}
