/** Addresses of other processes as texts. */

const MAX_PORT = 65_535;

/** A name, an IPv4 address or an IPv6 address in brackets, and a port. */
const HOST_PORT = /^(?:[\w.-]+|\[[\da-f:.]+\]):(\d{1,5})$/i;

/** Whether a text is host:port of something that can be called. */
export function isHostPort(text: string): boolean {
  const port = Number(HOST_PORT.exec(text)?.[1]);
  return port >= 1 && port <= MAX_PORT && URL.canParse(`http://${text}`);
}
