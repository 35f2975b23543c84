// Bundles the program for the platform into target/, straight from the sources. `bundle/compile.cjs` compiles it ahead.
import { copyFileSync, mkdirSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

const OUT = 'target';

rmSync(OUT, { recursive: true, force: true });
mkdirSync(OUT);
await build({
  entryPoints: { program: 'platform/src/program.ts' },
  outdir: OUT,
  bundle: true,
  // Half of the sources' bytes are comments and white space, which each start would read.
  minifyWhitespace: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  conditions: ['source'],
  // A role's code is run when the role is started; a script that is compiled ahead has no way to import at run time.
  supported: { 'dynamic-import': false },
  // Loaded only where traces are exported, and then from node_modules: each process keeps the whole source in memory.
  external: ['sdk-trace-node', 'sdk-trace-base', 'exporter-trace-otlp-http', 'resources'].map(
    (name) => `@opentelemetry/${name}`,
  ),
  legalComments: 'none',
  banner: { js: '(function (exports, require, module) {' },
  footer: { js: '})' },
  logLevel: 'warning',
});
copyFileSync('scripts/bundle/start.cjs', `${OUT}/jasminerouted.cjs`);
