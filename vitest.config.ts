import { defineConfig } from 'vitest/config';

export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'] } },
  test: {
    include: ['packages/*/src/**/*.spec.ts', 'platform/src/**/*.spec.ts'],
    setupFiles: ['packages/routing/src/testing/setUp.ts'],
    testTimeout: 90_000,
    hookTimeout: 90_000,
    maxWorkers: 3,
  },
});
