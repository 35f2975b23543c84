/** Lookup tables for a set of documents. */
import { RouteTable } from '@jasmineroute/document';
import type { Document, ModelService } from '@jasmineroute/document';
import type { View } from '@jasmineroute/directory';

/** Lookup tables for a set of documents. */
export interface ServiceTables {
  readonly routes: RouteTable;
  /** Services by model name; no two services have a model of the same name. */
  readonly models: ReadonlyMap<string, ModelService>;
  readonly modelServices: readonly ModelService[];
}

/**
 * Cached tables. A view replaces its map of documents on every change, and the tables are garbage-collected with it.
 */
const tablesByDocuments = new WeakMap<View['documents'], ServiceTables>();

/** The tables for a view, built once for each map of documents. */
export function tablesOf(view: View): ServiceTables {
  const cached = tablesByDocuments.get(view.documents);
  if (cached !== undefined) return cached;
  const tables = buildTables([...view.documents.values()].map(({ document }) => document));
  tablesByDocuments.set(view.documents, tables);
  return tables;
}

function buildTables(documents: readonly Document[]): ServiceTables {
  const modelServices = documents.filter((document) => document.kind === 'model');
  const models = new Map<string, ModelService>();
  for (const service of modelServices) {
    for (const model of service.models) models.set(model.name, service);
  }
  return { routes: new RouteTable(documents), models, modelServices };
}
