/** Runs before each test file: loads the hash function, as a role does at its start. */
import { loadHasher } from '../prefix/index.js';

await loadHasher();
