import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/gen/**', '**/node_modules/**', '.quickstart/**', '.bench/**'] },
  js.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
    },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: { globals: { process: 'readonly', __dirname: 'readonly' } },
  },
  {
    files: ['**/*.mjs', '*.js'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        URL: 'readonly',
        fetch: 'readonly',
        setTimeout: 'readonly',
        performance: 'readonly',
        TextEncoder: 'readonly',
        Buffer: 'readonly',
      },
    },
  },
);
