/** What a process knows of documents, targets and instances, and how it learns it. */
export * from './view/index.js';
