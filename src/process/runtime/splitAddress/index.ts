/**
 * Host and port of an address.
 */

/** Address as sockets take it. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const MAXIMUM_PORT = 65_535;

/**
 * Splits an address; the runtime's sockets throw on a port that is out of range.
 *
 * @param address - host and port
 * @returns the host and the port, or undefined when it has no host or no port from 1 to 65535
 * @example
 * splitAddress('10.0.0.1:8080'); // { host: '10.0.0.1', port: 8080 }
 */
export function splitAddress(address: string): SocketAddress | undefined {
  const [, host, digits] = /^([^:]+):(\d{1,5})$/.exec(address) ?? [];
  const port = Number(digits);
  if (host === undefined || port < 1 || port > MAXIMUM_PORT) return undefined;
  return { host, port };
}
