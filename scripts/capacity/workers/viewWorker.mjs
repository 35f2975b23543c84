// Live bytes of the view that an entry holds, at a size; each size in the same process, one after the other.
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { compactText } from '@jasmineroute/document';
import { ViewBuilder, instanceFromMessage, instanceToMessage } from '@jasmineroute/directory';
import { controlMessage } from '@jasmineroute/protocol';
import { agentInstance, modelText } from '../../../packages/directory/dist/fixture/index.js';
import { liveBytes } from '../meter.mjs';
import { answerQuestions } from '../workerProcess.mjs';

/** Small sizes are held several times, so that the noise of the heap counts less. */
const LEAST_HELD = 2_000;
const CUSTOMERS_OF_DOCUMENT = 8;

/** An instance as it comes out of a message, sharing nothing with any other. */
function received(place) {
  const bytes = toBinary(controlMessage.InstanceSchema, instanceToMessage(agentInstance(place)));
  return instanceFromMessage(fromBinary(controlMessage.InstanceSchema, bytes));
}

function stored(service, customers, revision) {
  const text = compactText(modelText(service, customers, 1));
  return { service, version: 1n, text, operator: 'ann', acceptedAt: new Date(0), revision };
}

function withTargets(count) {
  const builder = new ViewBuilder();
  const changed = Array.from({ length: count }, (_, place) => received(place));
  builder.applyInstances([{ changed, removed: [], buckets: [] }]);
  return builder;
}

function withCustomers(count) {
  const builder = new ViewBuilder();
  builder.applyDocuments(builder.plan([stored('pool', count, 1n)], 1n).view);
  return builder;
}

function withDocuments(count) {
  const builder = new ViewBuilder();
  const documents = Array.from({ length: count }, (_, place) =>
    stored(`service-${place}`, CUSTOMERS_OF_DOCUMENT, BigInt(place + 1)),
  );
  builder.applyDocuments(builder.plan(documents, BigInt(count)).view);
  return builder;
}

const builds = { targets: withTargets, customers: withCustomers, documents: withDocuments };

answerQuestions({
  async held({ kind, count }) {
    const copies = Math.max(1, Math.ceil(LEAST_HELD / count));
    // Once without counting: the first build also loads and compiles code.
    builds[kind](count);
    const before = await liveBytes();
    const built = Array.from({ length: copies }, () => builds[kind](count));
    const after = await liveBytes();
    if (built.some((builder) => builder.view() === undefined)) throw new Error('no view');
    return (after - before) / copies;
  },
});
