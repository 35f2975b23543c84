/** Checks of a document before it is proposed. */
import { createHash } from 'node:crypto';
import { checkAgainst, lineOfPath, parseDocument } from '@jasmineroute/document';
import type { Document, Problem } from '@jasmineroute/document';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** What the log needs to know of a document besides its text. */
export interface CheckedDocument {
  readonly document: Document;
  /** Hashes of the keys that may apply the next version. */
  readonly operatorHashes: string[];
  /** Hash over what `checkAgainst` compares among services. */
  readonly sharedHash: Uint8Array;
}

/** Reads and checks a text by itself; every fault in one go. */
export function checkAlone(service: string, text: string): Result<CheckedDocument, Problem[]> {
  return parseDocument(text).andThen((document) => {
    if (document.service !== service) return err([wrongService(service, document.service)]);
    return ok({
      document,
      operatorHashes: Object.values(document.owner.operators),
      sharedHash: sharedHashOf(document),
    });
  });
}

/** Clashes that a document would bring among those in force, with the lines of its own text. */
export function checkAmong(
  document: Document,
  text: string,
  inForce: ReadonlyMap<string, Document>,
): Problem[] {
  return checkAgainst(document, inForce).map((problem) => ({
    ...problem,
    line: lineOfPath(text, problem.path),
  }));
}

function wrongService(asked: string, found: string): Problem {
  return { path: 'service', line: 1, message: `is "${found}", but the change is for "${asked}"` };
}

function sharedHashOf(document: Document): Uint8Array {
  const { owner } = document;
  const models = document.kind === 'model' ? document.models.map(({ name }) => name) : [];
  const routes = document.kind === 'plain' ? document.routes.map(({ host, path }) => [host, path]) : [];
  const customers =
    document.kind === 'control' ? [] : document.customers.map(({ name, keys }) => [name, ...keys]);
  const shared = JSON.stringify([models, routes, customers, owner.team, owner.operators]);
  return createHash('sha256').update(shared).digest().subarray(0, 16);
}
