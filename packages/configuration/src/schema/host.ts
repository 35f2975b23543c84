/** Hosts of routes and requests are compared without port and case. */
export const hostOf = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();
