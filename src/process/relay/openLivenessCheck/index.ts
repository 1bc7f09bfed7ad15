/**
 * Second connection to an endpoint, which shows whether the process that sent a response without framing still ran
 * after the response ended.
 */
import { connect, type Socket } from 'node:net';
import type {
  LivenessCheck,
  InstanceAnswer,
  InstanceProtocol,
  InstanceQuery,
  LivenessResult,
} from '../../../types/relay/index.js';
import { splitAddress } from '../../runtime/splitAddress/index.js';
import { waitForPendingReads } from '../../runtime/waitForPendingReads/index.js';

/** Options of {@link openLivenessCheck}. */
export interface OpenLivenessCheckOptions {
  readonly address: string;
  readonly requestInstance: InstanceProtocol['requestInstance'];
}

/** State of the connection. */
type ConnectionState = 'connecting' | 'open' | 'closed';

/** Results by the answer on a connection that is not known to have been established before the end of the response. */
const LATE_RESULTS: Readonly<Record<InstanceAnswer, LivenessResult>> = {
  same: 'alive',
  other: 'ended',
  unnamed: 'unknown',
};
/** Results by the answer on a connection that was established while the response was open. */
const EARLY_RESULTS: Readonly<Record<InstanceAnswer, LivenessResult>> = {
  ...LATE_RESULTS,
  unnamed: 'alive',
};

/** Creates the check of an endpoint whose address cannot be connected to. */
function createFailedCheck(): LivenessCheck {
  return {
    recordResponseEnd: () => undefined,
    confirm: () => Promise.resolve('unknown'),
    close: () => undefined,
  };
}

/**
 * Opens a connection to an endpoint whose response has begun.
 *
 * A process that ends closes all its connections. A connection that was established while the response was open, and
 * on which the endpoint answers after the end, shows that the process did not end in between. Where the response
 * ended first, only an answer that names the endpoint counts.
 *
 * @param options - the address, and the protocol's health request
 * @returns the check, to be closed when its result is no longer needed
 * @example
 * const livenessCheck = openLivenessCheck({ address, requestInstance });
 * livenessCheck.recordResponseEnd();
 * await livenessCheck.confirm(query); // 'alive'
 */
export function openLivenessCheck({
  address,
  requestInstance,
}: OpenLivenessCheckOptions): LivenessCheck {
  const target = splitAddress(address);
  if (!target) return createFailedCheck();
  let state: ConnectionState = 'connecting';
  let hasResponseEnded = false;
  let isEarly = false;
  const socket: Socket = connect(target);
  const recordConnected = async (): Promise<void> => {
    state = 'open';
    // The end of the response may have arrived before the connection was established, and not be read yet. One
    // turn of the event loop reads up to 2 MB, of which a buffered response has at most 4 MB.
    await waitForPendingReads();
    await waitForPendingReads();
    isEarly = !hasResponseEnded;
  };
  const recordClosed = (): void => {
    state = 'closed';
  };
  socket.setNoDelay(true);
  socket.on('connect', () => void recordConnected());
  socket.on('end', recordClosed);
  socket.on('error', recordClosed);
  socket.on('close', recordClosed);
  // Without a reader, the end of the connection is not noticed.
  socket.resume();

  return {
    recordResponseEnd: () => {
      hasResponseEnded = true;
    },
    confirm: async (query: InstanceQuery) => {
      // The end of this connection may have arrived together with that of the response.
      await waitForPendingReads();
      if (state === 'closed' || query.timeoutMilliseconds <= 0) {
        socket.destroy();
        // An endpoint may also close a connection on which nothing is sent.
        return 'unknown';
      }
      const answer = await requestInstance(socket, query);
      if (answer === undefined) return 'unknown';
      return (isEarly ? EARLY_RESULTS : LATE_RESULTS)[answer];
    },
    close: () => {
      socket.destroy();
    },
  };
}
