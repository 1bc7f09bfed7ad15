/**
 * Second connection to an endpoint that sends a response without framing: whether the process that sent
 * the response outlived its end.
 */
import { connect, type Socket } from 'node:net';
import type {
  EndpointWitness,
  InstanceAnswer,
  InstanceProtocol,
  InstanceQuery,
  WitnessFinding,
} from '../../../types/relay/index.js';
import { splitAddress } from '../../runtime/splitAddress/index.js';
import { waitForPendingReads } from '../../runtime/waitForPendingReads/index.js';

/** Options of {@link openWitness}. */
export interface OpenWitnessOptions {
  readonly address: string;
  readonly requestInstance: InstanceProtocol['requestInstance'];
}

/** State of the connection. */
type ConnectionState = 'connecting' | 'open' | 'closed';

/** Findings by the answer on a connection that was established after the end of the response, or not shown to be earlier. */
const LATE_FINDINGS: Readonly<Record<InstanceAnswer, WitnessFinding>> = {
  same: 'outlived',
  other: 'ended',
  unnamed: 'unknown',
};
/** Findings by the answer on a connection that was established while the response was open. */
const EARLY_FINDINGS: Readonly<Record<InstanceAnswer, WitnessFinding>> = {
  ...LATE_FINDINGS,
  unnamed: 'outlived',
};

/** Creates the witness of an endpoint whose address cannot be connected to. */
function createSilentWitness(): EndpointWitness {
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
 * @returns the witness, to be closed when its finding is no longer needed
 * @example
 * const witness = openWitness({ address, requestInstance });
 * witness.recordResponseEnd();
 * await witness.confirm(query); // 'outlived'
 */
export function openWitness({ address, requestInstance }: OpenWitnessOptions): EndpointWitness {
  const target = splitAddress(address);
  if (!target) return createSilentWitness();
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
      return (isEarly ? EARLY_FINDINGS : LATE_FINDINGS)[answer];
    },
    close: () => {
      socket.destroy();
    },
  };
}
