/**
 * Tickets: idempotency keys that only the node incarnation that issued them may run.
 *
 * A call with a ticket needs no durable intent, so it can run while the platform store is unavailable:
 * a ticket that outlives its incarnation can never run again.
 */
import { createHmac } from 'node:crypto';
import type { NodeContext } from '../../process/node/createContext/index.js';
import type { Booking, BookingResult } from '../../types/booking/index.js';
import { equalsInConstantTime } from '../authorizeCaller/index.js';
import type { ServiceCalls } from '../createServiceCalls/index.js';

/** A parsed ticket. */
export interface Ticket {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: string;
  readonly signature: string;
}

/** Options of {@link createTickets}. */
export interface CreateTicketsOptions {
  readonly context: NodeContext;
  readonly services: ServiceCalls;
  /** Secret of this incarnation, known to no other process. */
  readonly secret: string;
}

/** The tickets of one incarnation. */
export interface Tickets {
  readonly mint: (account: string, count: number) => string[];
  /** Runs the call of a ticket of this incarnation, at most once. */
  readonly run: (ticket: Ticket, booking: Booking, done: (result: BookingResult) => void) => void;
}

interface UsedTicket {
  readonly digest: string;
  result: BookingResult | undefined;
  readonly waiters: ((result: BookingResult) => void)[];
}

const TICKET = /^ticket~([A-Za-z0-9._-]+)~([0-9a-z]+)~([0-9a-z]+)~([0-9a-f]{32})$/;
const RADIX = 36;

/**
 * Parses a ticket.
 *
 * @param idempotencyKey - a caller's idempotency key
 * @returns the ticket, or undefined when the key is not a ticket
 * @example
 * readTicket('booking-1'); // undefined
 */
export function readTicket(idempotencyKey: string): Ticket | undefined {
  const [, node, incarnation, sequence, signature] = TICKET.exec(idempotencyKey) ?? [];
  if (node === undefined || sequence === undefined || signature === undefined) return undefined;
  return { node, incarnation: Number.parseInt(incarnation ?? '0', RADIX), sequence, signature };
}

/**
 * Creates the tickets of one incarnation.
 *
 * The table of used tickets exists as long as the incarnation, as the tickets do. Its size is bounded
 * by the number of issued tickets. A ticket with a valid signature that is not in the table has not
 * been used.
 *
 * @param options - the node's context, its service calls and the incarnation's secret
 * @returns the tickets
 * @example
 * const [ticket] = createTickets({ context, services, secret }).mint('kiosk', 1);
 */
export function createTickets(options: CreateTicketsOptions): Tickets {
  const { context, services, secret } = options;
  const used = new Map<string, UsedTicket>();
  let sequence = 0;

  const sign = (account: string, number: string): string =>
    createHmac('sha256', secret).update(`${account}/${number}`).digest('hex').slice(0, 32);
  const finish = (entry: UsedTicket, result: BookingResult): void => {
    entry.result = result;
    for (const waiter of entry.waiters.splice(0)) waiter(result);
  };
  const send = (entry: UsedTicket, booking: Booking): void => {
    services.send(booking.call, (outcome) => {
      if (outcome.kind === 'reply') {
        finish(entry, { ...outcome, kind: 'answer' });
        return;
      }
      const code = outcome.kind === 'notSent' ? 'noEndpoint' : 'outcomeUnknown';
      finish(entry, { kind: 'error', code });
    });
  };

  return {
    mint: (account, count) =>
      Array.from({ length: count }, () => {
        sequence += 1;
        const number = sequence.toString(RADIX);
        const incarnation = context.incarnation.toString(RADIX);
        return `ticket~${context.node}~${incarnation}~${number}~${sign(account, number)}`;
      }),
    run: (ticket, booking, done) => {
      const isIssuedHere =
        ticket.node === context.node && ticket.incarnation === context.incarnation;
      const isSigned = equalsInConstantTime(
        ticket.signature,
        sign(booking.account, ticket.sequence),
      );
      if (!isIssuedHere || !isSigned) {
        done({ kind: 'error', code: 'outcomeUnknown' });
        return;
      }
      const existing = used.get(ticket.sequence);
      if (existing && existing.digest !== booking.digest) {
        done({ kind: 'error', code: 'keyReused' });
        return;
      }
      const isRetryable =
        existing?.result?.kind === 'error' && existing.result.code === 'noEndpoint';
      if (existing?.result && !isRetryable) {
        done(existing.result);
        return;
      }
      if (existing && !existing.result) {
        existing.waiters.push(done);
        return;
      }
      const entry: UsedTicket = { digest: booking.digest, result: undefined, waiters: [done] };
      used.set(ticket.sequence, entry);
      send(entry, booking);
    },
  };
}
