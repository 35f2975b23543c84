/** Tracing: one span per hop, and W3C trace context between processes. */
import { SpanKind, SpanStatusCode, context, propagation, trace } from '@opentelemetry/api';
import type { Context, Span } from '@opentelemetry/api';

/** Trace context as headers. */
export type Carrier = Record<string, string>;

const tracer = () => trace.getTracer('jasmineroute');

/** Kind of hop that a span represents. */
export type Hop = 'server' | 'client' | 'internal';

const spanKinds: Record<Hop, SpanKind> = {
  server: SpanKind.SERVER,
  client: SpanKind.CLIENT,
  internal: SpanKind.INTERNAL,
};

/** A running span and the context for its children. */
export interface HopSpan {
  readonly span: Span;
  readonly context: Context;
}

/** Starts a span under the context in `carrier` or under `parent`. End it with `endHop`. */
export function startHop(
  name: string,
  hop: Hop,
  from: { carrier?: Carrier; parent?: HopSpan } = {},
): HopSpan {
  const parent = from.parent?.context ?? propagation.extract(context.active(), from.carrier ?? {});
  const span = tracer().startSpan(name, { kind: spanKinds[hop] }, parent);
  return { span, context: trace.setSpan(parent, span) };
}

/** Ends a span, as failed when `error` is given. */
export function endHop(hop: HopSpan, error?: string): void {
  if (error !== undefined) hop.span.setStatus({ code: SpanStatusCode.ERROR, message: error });
  hop.span.end();
}

/** Headers that propagate a span's context to the next process. */
export function carrierOf(hop: HopSpan): Carrier {
  const carrier: Carrier = {};
  propagation.inject(hop.context, carrier);
  return carrier;
}
