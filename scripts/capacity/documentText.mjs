// Documents of the letter's size as text; JSON is YAML too.
import { hashKey } from '@jasmineroute/document';

/** The operator's key for a service; no two teams may share one. */
export const operatorKey = (service) => `capacity-operator-key-${service}`;

/** A model service with many customers; `limit` is that of the first, so that a change is one value. */
export function modelDocument(service, customers, limit) {
  const document = {
    kind: 'model',
    service,
    owner: { team: service, operators: { lead: hashKey(operatorKey(service)) } },
    models: [{ name: `${service}-model`, version: '1' }],
    customers: Array.from({ length: customers }, (_, place) => ({
      name: `customer-${place}`,
      keys: [hashKey(`${service}/${place}`)],
      limits: { requestsPerSecond: place === 0 ? limit : 5 },
    })),
  };
  return { service, text: JSON.stringify(document, null, 2), key: operatorKey(service) };
}
