/** Runs before each file of tests: what a role awaits before it starts. */
import { loadHasher } from '../prefix/index.js';

await loadHasher();
