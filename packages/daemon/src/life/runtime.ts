/** What is set of the runtime in every process of the system. */
import { setFlagsFromString } from 'node:v8';

/**
 * To be called before a role is loaded. WebAssembly, which is the parser of HTTP answers, stays with the code of the baseline
 * compiler: for the parser's one large function the optimising compiler takes tens of megabytes, which the allocator keeps.
 */
export function prepareRuntime(): void {
  setFlagsFromString('--liftoff-only');
}
