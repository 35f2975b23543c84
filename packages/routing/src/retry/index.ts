export * from './retryBudget.js';
