/**
 * Check of whether a process accepts connections at an address.
 */
import { connect } from 'node:net';
import { splitAddress } from '../../runtime/splitAddress/index.js';
import { startTimeLimit } from '../../runtime/startTimeLimit/index.js';

/** Time after which an address that does not respond counts as not listening, in milliseconds. */
const TIMEOUT_MILLISECONDS = 200;

/**
 * Connects to an address and closes the connection without sending anything.
 *
 * @param address - host and port
 * @returns whether the connection was accepted in time
 * @example
 * await checkListening('10.0.0.1:80');
 */
export function checkListening(address: string): Promise<boolean> {
  const target = splitAddress(address);
  if (!target) return Promise.resolve(false);
  return new Promise((resolve) => {
    const socket = connect(target);
    const finish = (isListening: boolean): void => {
      cancelLimit();
      socket.destroy();
      resolve(isListening);
    };
    const cancelLimit = startTimeLimit(TIMEOUT_MILLISECONDS, () => {
      finish(false);
    });
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('error', () => {
      finish(false);
    });
  });
}
