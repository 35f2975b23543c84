// Bundles the program of each role for the platform into target/, straight from the sources. `bundle/compile.cjs` compiles
// them ahead.
import { copyFileSync, mkdirSync, rmSync } from 'node:fs';
import { build } from 'esbuild';
import { bundleOptions } from './bundle/options.mjs';

const OUT = 'target';

rmSync(OUT, { recursive: true, force: true });
mkdirSync(OUT);
await build({ ...bundleOptions, outdir: OUT });
copyFileSync('scripts/bundle/start.cjs', `${OUT}/jasminerouted.cjs`);
