/** Checks of a document before it is proposed. */
import { createHash } from 'node:crypto';
import { checkAgainst, lineOfPath, parseDocument } from '@jasmineroute/document';
import type { Document, Problem } from '@jasmineroute/document';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** A checked document with the data that its command carries besides the text. */
export interface CheckedDocument {
  readonly document: Document;
  /** Hashes of the keys that may apply the next version. */
  readonly operatorHashes: string[];
  /** Hash of the fields that `checkAgainst` compares between services. */
  readonly sharedHash: Uint8Array;
}

/** Parses a text and checks it without regard to other documents; reports all faults at once. */
export function checkDocument(service: string, text: string): Result<CheckedDocument, Problem[]> {
  return parseDocument(text).andThen((document) => {
    if (document.service !== service) return err([wrongService(service, document.service)]);
    return ok({
      document,
      operatorHashes: Object.values(document.owner.operators),
      sharedHash: sharedHashOf(document),
    });
  });
}

/** Models, routes and keys of a document that another document in force already has, with the lines of its text. */
export function findDuplicates(
  document: Document,
  text: string,
  inForce: ReadonlyMap<string, Document>,
): Problem[] {
  return checkAgainst(document, inForce).map((problem) => ({
    ...problem,
    line: lineOfPath(text, problem.path),
  }));
}

function wrongService(expected: string, actual: string): Problem {
  return { path: 'service', line: 1, message: `is "${actual}", but the change is for "${expected}"` };
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
