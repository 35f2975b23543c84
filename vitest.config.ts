import { defineConfig } from 'vitest/config';

export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'] } },
  test: {
    include: ['packages/*/src/**/*.spec.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 6,
  },
});
