/** Measures the memory of a view. */
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { compactText } from '@jasmineroute/document';
import { controlMessage } from '@jasmineroute/protocol';
import { ViewBuilder } from '../client/index.js';
import { agentInstance, modelText } from '../fixture/index.js';
import { instanceFromMessage, instanceToMessage } from '../message/index.js';
import type { Instance } from '../view/index.js';
import { liveHeap, slope } from './meter.js';
import type { Measure } from './measure.js';

const TARGETS = [600, 1_200, 2_450, 4_900];
const CUSTOMERS = [100, 475, 950, 1_900];

/** An instance decoded from a message, sharing no objects with others. */
function received(index: number): Instance {
  const bytes = toBinary(controlMessage.InstanceSchema, instanceToMessage(agentInstance(index)));
  return instanceFromMessage(fromBinary(controlMessage.InstanceSchema, bytes));
}

function heapOf(build: (builder: ViewBuilder) => void): number {
  const before = liveHeap();
  const builder = new ViewBuilder();
  build(builder);
  const after = liveHeap();
  // Keeps the view reachable until the second measurement.
  if (builder.view().revision < 0n) throw new Error('no view');
  return after - before;
}

function withTargets(count: number): (builder: ViewBuilder) => void {
  return (builder) => {
    for (let from = 0; from < count; from += 100) {
      const changed = Array.from({ length: 100 }, (_, index) => received(from + index));
      builder.applyInstances([{ changed, removed: [], buckets: [] }]);
    }
  };
}

function withCustomers(count: number): (builder: ViewBuilder) => void {
  return (builder) => {
    const text = compactText(modelText('pool', count, 1));
    const stored = {
      service: 'pool',
      version: 1n,
      text,
      operator: 'ann',
      acceptedAt: new Date(0),
      revision: 1n,
    };
    builder.applyDocuments(builder.plan([stored], 1n).view);
  };
}

function rows(
  unit: string,
  sizes: readonly number[],
  build: (size: number) => (builder: ViewBuilder) => void,
): Measure[] {
  heapOf(build(sizes[0] ?? 0));
  const points = sizes.map((size) => [size, heapOf(build(size))] as const);
  return [
    ...points.map(([size, heap]) => ({ name: `view with ${size} ${unit}s`, value: heap / 1e6, unit: 'MB' })),
    { name: `heap for one more ${unit}`, value: slope(points), unit: 'B' },
  ];
}

/** Measures the heap of views of several sizes and the growth per item. */
export function measureHeap(): Measure[] {
  return [...rows('target', TARGETS, withTargets), ...rows('customer', CUSTOMERS, withCustomers)];
}
