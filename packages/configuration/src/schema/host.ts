/** A host without its port, in lower case, as routes and requests are compared. */
export const hostOf = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();
