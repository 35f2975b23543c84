/** Senders of the copies of what an entry stores at control instances. */
import { ReportSender } from '@jasmineroute/knowledge';
import type { FailoverParts } from '@jasmineroute/knowledge';

/** Two senders; the second never sends to the control instance of the first. */
export function copySenders(parts: FailoverParts): readonly [ReportSender, ReportSender] {
  const first = new ReportSender(parts);
  const others = (): string[] => parts.controls().filter((address) => address !== first.address);
  return [first, new ReportSender({ ...parts, controls: others })];
}
