// How the program of each role is bundled for the platform.
import { resolve } from 'node:path';

/** Roles that have a program of their own: a process holds the source, and runs the modules, of its role alone. */
export const ROLES = ['entry', 'control', 'agent'];

const root = resolve(import.meta.dirname, '../..');

/** Of undici only what is used: its index runs all of it, the fetch API, web sockets and caches included. */
const usedOfUndici = {
  name: 'used-of-undici',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve(import.meta.dirname, 'undici.cjs') }));
  },
};

/** Options of esbuild, without the place where the result goes. */
export const bundleOptions = {
  absWorkingDir: root,
  entryPoints: ROLES.map((role) => `platform/src/roles/${role}.ts`),
  bundle: true,
  // Half of the sources' bytes are comments and white space, which each start would read.
  minifyWhitespace: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  conditions: ['source'],
  // A script that is compiled ahead has no way to import at run time.
  supported: { 'dynamic-import': false },
  // Loaded only where traces are exported, and then from node_modules: each process keeps the whole source in memory.
  external: ['sdk-trace-node', 'sdk-trace-base', 'exporter-trace-otlp-http', 'resources'].map(
    (name) => `@opentelemetry/${name}`,
  ),
  plugins: [usedOfUndici],
  legalComments: 'none',
  banner: { js: '(function (exports, require, module) {' },
  footer: { js: '})' },
  logLevel: 'warning',
};
