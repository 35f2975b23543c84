/** What a process knows from control, and how it learns it. */
export * from './controlOrder.js';
export * from './events.js';
export * from './followTask.js';
export * from './follower.js';
export * from './knowledge.js';
export * from './reportSender.js';
export * from './reportStream.js';
export * from './sharedNews.js';
export * from './targetList.js';
export * from './teller.js';
