// A control instance with documents and instances in memory that changes them at a wanted rate.
import { toBinary } from '@bufbuild/protobuf';
import { instanceToMessage } from '@jasmineroute/directory';
import { controlMessage } from '@jasmineroute/protocol';
import {
  ControlStandIn,
  MemoryDocuments,
  MemoryInstances,
  agentInstance,
  modelText,
} from '../../../packages/directory/dist/fixture/index.js';
import { ByteCounter } from '../../../packages/directory/dist/bench/meter.js';
import { answerQuestions } from '../workerProcess.mjs';

const documents = new MemoryDocuments();
const instances = new MemoryInstances();
const counters = [];
let sizes;
let turn = 0;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function changeDocument() {
  turn += 1;
  const service = `service-${turn % sizes.services}`;
  documents.accept(service, modelText(service, sizes.customersOfEach, 1_000 + turn));
}

function changeInstance() {
  turn += 1;
  instances.set(agentInstance(turn % sizes.targets, turn % 2 === 0 ? 'suspect' : 'alive'));
}

/** Calls `action` `perSecond` times a second, evenly, for a time. */
async function evenly(action, perSecond, ms) {
  const wanted = Math.round((perSecond * ms) / 1_000);
  for (let count = 0; count < wanted; count += 1) {
    await sleep(ms / wanted);
    action();
  }
  return wanted;
}

answerQuestions({
  async open(wanted) {
    sizes = wanted;
    for (let place = 0; place < sizes.targets; place += 1) instances.set(agentInstance(place));
    for (let place = 0; place < sizes.services; place += 1)
      documents.accept(`service-${place}`, modelText(`service-${place}`, sizes.customersOfEach, 1));
    const control = await ControlStandIn.start({ name: 'c0', documents, instances });
    // One relay for each client, outside the client's process, counts the bytes of its connections.
    const addresses = [];
    for (let place = 0; place < sizes.clients; place += 1) {
      counters.push(new ByteCounter(control.port));
      addresses.push(await counters[place].open());
    }
    const message = instanceToMessage(agentInstance(1));
    const instanceBytes = toBinary(controlMessage.InstanceSchema, message).byteLength;
    return { addresses, instanceBytes, revision: Number(documents.revision()) };
  },
  bytes: () => counters.map(({ bytes }) => bytes),
  async change({ documentsPerSecond, instancesPerSecond, ms }) {
    const [changed, moved] = await Promise.all([
      evenly(changeDocument, documentsPerSecond, ms),
      evenly(changeInstance, instancesPerSecond, ms),
    ]);
    return { changed, moved };
  },
});
