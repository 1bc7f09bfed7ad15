/**
 * Client over a plain socket, which sends one request at a time and sees how the connection ends.
 */
import { connect, type TcpNetConnectOpts } from 'node:net';
import { readMessage } from './http.js';

/** Answer to a request, or why there is none. */
export interface ClientAnswer {
  /** Status; 0 without a complete answer. */
  readonly status: number;
  readonly body: string;
  /** Why there is no complete answer. */
  readonly reason?: string;
  /** Whether the connection has ended. */
  readonly isClosed: boolean;
}

/** Client with one connection. */
export interface Client {
  readonly isOpen: () => boolean;
  readonly request: (text: string, timeoutMilliseconds: number) => Promise<ClientAnswer>;
  readonly close: () => void;
}

/** Booking to send. */
export interface Booking {
  readonly attempt: string;
  readonly body?: string;
  /** Headers before `Content-Length`. */
  readonly headers?: readonly string[];
}

export const BOOKING_HOST = 'desk.example';
export const BOOKING_KEY = 'key-of-the-clinic';
/** Time that a caller of a booking waits, in milliseconds. */
export const BOOKING_DEADLINE_MILLISECONDS = 1_500;

/** Opens a connection to an address. */
export function openClient(address: TcpNetConnectOpts): Client {
  const socket = connect(address);
  socket.setNoDelay(true);
  let bytes = Buffer.alloc(0);
  let endReason: string | undefined;
  let settle: (answer: ClientAnswer) => void = () => undefined;
  socket.on('data', (chunk: Buffer) => {
    bytes = Buffer.concat([bytes, chunk]);
    const message = readMessage(bytes);
    if (!message) return;
    bytes = bytes.subarray(message.end);
    const status = Number(message.start.split(' ')[1]);
    settle({ status, body: message.body, isClosed: false });
  });
  const end = (reason: string): void => {
    endReason ??= reason;
    settle({ status: 0, body: '', reason: endReason, isClosed: true });
  };
  socket.on('error', (error) => {
    end(error.message);
  });
  socket.on('close', () => {
    end('connection closed');
  });
  return {
    isOpen: () => endReason === undefined,
    request: (text, timeoutMilliseconds) =>
      new Promise((resolve) => {
        if (endReason !== undefined) {
          resolve({ status: 0, body: '', reason: endReason, isClosed: true });
          return;
        }
        const limit = setTimeout(() => {
          settle({ status: 0, body: '', reason: 'no answer', isClosed: false });
        }, timeoutMilliseconds);
        settle = (answer) => {
          clearTimeout(limit);
          settle = () => undefined;
          resolve(answer);
        };
        socket.write(text, 'latin1');
      }),
    close: () => {
      socket.destroy();
    },
  };
}

/** Formats a booking. */
export function formatBooking({ attempt, body = 'slot=14:30', headers = [] }: Booking): string {
  const lines = [
    'POST /book/1 HTTP/1.1',
    `Host: ${BOOKING_HOST}`,
    `Attempt-Id: ${attempt}`,
    `Deadline-Ms: ${BOOKING_DEADLINE_MILLISECONDS}`,
    `Credential: ${BOOKING_KEY}`,
    ...headers,
    `Content-Length: ${body.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Formats a lookup, which may be repeated. */
export function formatLookup(attempt: string, deadlineMilliseconds: number): string {
  const lines = [
    'GET /look/1 HTTP/1.1',
    `Host: ${BOOKING_HOST}`,
    `Attempt-Id: ${attempt}`,
    `Deadline-Ms: ${deadlineMilliseconds}`,
    `Credential: ${BOOKING_KEY}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Sends a booking over a new connection. */
export async function sendBooking(
  address: TcpNetConnectOpts,
  booking: Booking,
): Promise<ClientAnswer> {
  const client = openClient(address);
  const answer = await client.request(formatBooking(booking), BOOKING_DEADLINE_MILLISECONDS);
  client.close();
  return answer;
}
