/** What is set of the runtime in every process of the system. */
import { setFlagsFromString } from 'node:v8';

/**
 * WebAssembly, which is the parser of HTTP answers, stays with the code of the baseline compiler: for the parser's one large
 * function the optimising compiler takes tens of megabytes, which the allocator keeps. To be called once the modules are
 * loaded, as the runtime compiles its own ones anew under changed flags, and before the parser runs.
 */
export function prepareRuntime(): void {
  setFlagsFromString('--liftoff-only');
}
