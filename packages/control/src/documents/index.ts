export * from './documentService.js';
export * from './documentState.js';
export * from './documentView.js';
