/** Converts member reports between gossip messages and the failure detector. */
import { create } from '@bufbuild/protobuf';
import type { Cause, Digest, FailureDetector, MemberReport } from '@jasmineroute/coordination';
import { controlMessage } from '@jasmineroute/protocol';
import { healthFromMessage, healthToMessage } from '../message/index.js';
import type { InstanceStore } from './instanceStore.js';

const causes: readonly string[] = [
  'heard',
  'slow',
  'silent',
  'crashed',
  'mass-silence',
  'observer-cut-off',
  'left',
] satisfies Cause[];

function causeFromMessage(text: string): Cause {
  return causes.includes(text) ? (text as Cause) : 'silent';
}

/** Converts a digest to an exchange request. */
export function digestToMessage(
  from: { readonly name: string; readonly incarnation: bigint },
  digest: Digest,
  store: InstanceStore,
): controlMessage.ExchangeRequest {
  return create(controlMessage.ExchangeRequestSchema, {
    from: from.name,
    incarnation: from.incarnation,
    since: digest.since,
    upTo: digest.upTo,
    heard: digest.reports.map((report) => reportToMessage(report, store)),
    observers: digest.observers.map((observer) => ({ ...observer, ageMs: Math.round(observer.ageMs) })),
  });
}

function reportToMessage(report: MemberReport, store: InstanceStore): controlMessage.Heard {
  const { name, incarnation, sequence, source } = report;
  const known = store.message(name);
  const complete = known?.incarnation === incarnation;
  const instance = create(controlMessage.InstanceSchema, {
    ...(complete ? known : { name, incarnation, sequence }),
    health: healthToMessage(report.liveness),
  });
  return create(controlMessage.HeardSchema, {
    instance,
    ageMs: Math.round(report.ageMs),
    observer: source.observer,
    observerIncarnation: source.incarnation,
    change: source.change,
    cause: report.cause,
  });
}

/** Passes the reports of an exchange to the detector and the store. Returns the reported names. */
export function applyExchange(
  request: controlMessage.ExchangeRequest,
  detector: FailureDetector,
  store: InstanceStore,
): string[] {
  detector.recordObserverContact({ name: request.from, incarnation: request.incarnation, ageMs: 0 });
  for (const observer of request.observers) detector.recordObserverContact(observer);
  const names: string[] = [];
  for (const heard of request.heard) {
    const { instance } = heard;
    if (instance === undefined) continue;
    if (instance.address !== '') store.update(instance);
    detector.report({
      name: instance.name,
      incarnation: instance.incarnation,
      sequence: instance.sequence,
      liveness: healthFromMessage(instance.health),
      cause: causeFromMessage(heard.cause),
      ageMs: heard.ageMs,
      source: { observer: heard.observer, incarnation: heard.observerIncarnation, change: heard.change },
    });
    names.push(instance.name);
  }
  return names;
}
