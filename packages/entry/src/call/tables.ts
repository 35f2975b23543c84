/** Lookup tables over one set of documents. */
import { RouteTable } from '@jasmineroute/document';
import type { Document, ModelService } from '@jasmineroute/document';
import type { View } from '@jasmineroute/directory';

/** Tables of one set of documents. */
export interface ServiceTables {
  readonly routes: RouteTable;
  /** By model name; no two services share one. */
  readonly models: ReadonlyMap<string, ModelService>;
  readonly modelServices: readonly ModelService[];
}

/** Views replace their documents as a whole, so tables live as long as the documents do. */
const tablesByDocuments = new WeakMap<View['documents'], ServiceTables>();

/** The tables of a view, built once for each set of documents. */
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
