/** A control instance's side of reports, for tests of those who send them. */
import type { HandlerContext } from '@connectrpc/connect';
import type { controlMessage } from '@jasmineroute/protocol';
import { systemClock } from '@jasmineroute/core';

/** Time between two beats, milliseconds. */
const BEAT_MS = 100;

type Report = controlMessage.ReportRequest['report'];

/** Reads reports and beats, as a control instance does, until the stream ends. */
export function reportTaker(take: (report: Report) => void = () => undefined) {
  return async function* (
    requests: AsyncIterable<controlMessage.ReportRequest>,
    { signal }: HandlerContext,
  ): AsyncGenerator<object> {
    const read = async (): Promise<void> => {
      for await (const { report } of requests) take(report);
    };
    // A sender that is cut off is part of what is tested.
    read().catch(() => undefined);
    while (!signal.aborted) {
      yield {};
      await systemClock.sleep(BEAT_MS, signal).catch(() => undefined);
    }
  };
}
