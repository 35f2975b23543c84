// Bundles the program for the platform into target/, straight from the sources: one file for each role's code.
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

const OUT = 'target';

rmSync(OUT, { recursive: true, force: true });
await build({
  entryPoints: { jasminerouted: 'platform/src/main.ts' },
  outdir: OUT,
  bundle: true,
  splitting: true,
  minify: false,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  conditions: ['source'],
  // Some dependencies are CommonJS and ask for Node's own modules.
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
