/**
 * Requests between nodes about bookings and tickets.
 */
import { RESULT_CODES, type ResultCodeName } from '../../resultCodes/index.js';
import type { Member, PeerMessage } from '../../../types/peer/index.js';
import type { Bookings } from '../../../request/createBookings/index.js';
import type { Booking, BookingResult, BookingState } from '../../../types/booking/index.js';
import { readTicket, type Tickets } from '../../../request/createTickets/index.js';
import type { JournalRecord } from '../../../request/decideIntent/index.js';
import type { CompiledConfiguration } from '../../../version/compileConfiguration/index.js';
import { computeProcessIncarnation } from '../../membership/mergeMember/index.js';
import type { NodeContext } from '../createContext/index.js';

/** Messages that carry requests and their replies. */
export type PeerRequestMessage = Extract<
  PeerMessage,
  { kind: 'bookingQuery' | 'bookingAnswer' | 'ticketCall' | 'ticketReply' }
>;

/** Options of {@link createPeerRequests}. */
export interface CreatePeerRequestsOptions {
  readonly context: NodeContext;
  readonly findMember: (node: string) => Member | undefined;
  readonly getVersion: () => CompiledConfiguration;
  readonly getBookings: () => Bookings;
  readonly tickets: Tickets;
}

/** Requests that one node sends to peers and replies to. */
export interface PeerRequests {
  /**
   * Requests the state of a booking from the node that wrote its intent; `done` receives undefined
   * when the state is unknown.
   */
  readonly queryOwner: (
    record: JournalRecord,
    bookingKey: string,
    done: (state: BookingState | undefined) => void,
  ) => void;
  /** Runs a call under a ticket on the node that issued the ticket. */
  readonly runTicket: (booking: Booking, done: (result: BookingResult) => void) => void;
  readonly receive: (message: PeerRequestMessage) => void;
}

const QUERY_TIMEOUT_MILLISECONDS = 300;
const TICKET_REPLY_MARGIN_MILLISECONDS = 250;

function isCodeName(name: string): name is ResultCodeName {
  return name in RESULT_CODES;
}

/**
 * Creates the component of a node that sends requests to peers and replies to theirs.
 *
 * The state of a booking is unknown when its owner is dead or has restarted since it wrote the
 * intent. An owner that does not reply in time is treated as still running the call.
 *
 * @param options - the context, the members, and this node's bookings and tickets
 * @returns the peer requests
 * @example
 * createPeerRequests({ context, findMember, getVersion, getBookings, tickets });
 */
export function createPeerRequests(options: CreatePeerRequestsOptions): PeerRequests {
  const { context } = options;
  const pendingQueries = new Map<string, (state: BookingState) => void>();
  const pendingTicketCalls = new Map<string, (result: BookingResult) => void>();

  const send = (peer: Member, message: PeerMessage): void => {
    context.emit({ kind: 'sendPeer', address: peer.peerAddress, message });
  };
  const findProcess = (node: string, incarnation: number): Member | undefined => {
    const member = options.findMember(node);
    if (!member || member.state === 'dead') return undefined;
    return computeProcessIncarnation(member.incarnation) === incarnation ? member : undefined;
  };
  const queryMember = (
    member: Member,
    bookingKey: string,
    done: (state: BookingState) => void,
  ): void => {
    const query = context.nextId('query');
    const timer = context.schedule(QUERY_TIMEOUT_MILLISECONDS, () => {
      if (pendingQueries.delete(query)) done({ state: 'running' });
    });
    pendingQueries.set(query, (state) => {
      context.cancel(timer);
      done(state);
    });
    send(member, { kind: 'bookingQuery', from: context.node, query, bookingKey });
  };
  const forwardTicket = (
    member: Member,
    booking: Booking,
    done: (result: BookingResult) => void,
  ): void => {
    const query = context.nextId('ticket');
    const { account, idempotencyKey, digest, call } = booking;
    const remainingMilliseconds = Math.max(0, call.deadlineAt - context.now());
    const timer = context.schedule(remainingMilliseconds + TICKET_REPLY_MARGIN_MILLISECONDS, () => {
      if (pendingTicketCalls.delete(query)) done({ kind: 'error', code: 'outcomeUnknown' });
    });
    pendingTicketCalls.set(query, (result) => {
      context.cancel(timer);
      done(result);
    });
    const { service, method, path, headers, body } = call;
    send(member, {
      kind: 'ticketCall',
      from: context.node,
      query,
      account,
      idempotencyKey,
      digest,
      service,
      selector: call.selector.name,
      method,
      path,
      headers,
      body,
      remainingMilliseconds,
    });
  };
  const runTicket = (booking: Booking, done: (result: BookingResult) => void): void => {
    const ticket = readTicket(booking.idempotencyKey);
    if (!ticket) {
      done({ kind: 'error', code: 'malformedRequest' });
      return;
    }
    if (ticket.node === context.node) {
      options.tickets.run(ticket, booking, done);
      return;
    }
    const member = findProcess(ticket.node, ticket.incarnation);
    if (member) forwardTicket(member, booking, done);
    else done({ kind: 'error', code: 'outcomeUnknown' });
  };
  const receiveTicketCall = (
    message: Extract<PeerRequestMessage, { kind: 'ticketCall' }>,
  ): void => {
    const { from, query, account, idempotencyKey, digest, remainingMilliseconds } = message;
    const peer = options.findMember(from);
    const ticket = readTicket(idempotencyKey);
    const selector = options.getVersion().selectors.find(({ name }) => name === message.selector);
    if (!peer || !ticket || !selector) return;
    const { service, method, path, headers, body } = message;
    const deadlineAt = context.now() + remainingMilliseconds;
    const call = {
      service,
      selector,
      method,
      path,
      headers,
      body,
      deadlineAt,
      isRepeatable: false,
    };
    const booking = { account, idempotencyKey, digest, call, tryNumber: 1 };
    options.tickets.run(ticket, booking, (result) => {
      const reply =
        result.kind === 'answer'
          ? { status: result.status, contentType: result.contentType, body: result.body, code: '' }
          : { status: 0, contentType: '', body: '', code: result.code };
      send(peer, { kind: 'ticketReply', from: context.node, query, ...reply });
    });
  };

  const HANDLERS: {
    [Kind in PeerRequestMessage['kind']]: (
      message: Extract<PeerRequestMessage, { kind: Kind }>,
    ) => void;
  } = {
    bookingQuery: ({ from, query, bookingKey }) => {
      const peer = options.findMember(from);
      if (!peer) return;
      const found = options.getBookings().inspect(bookingKey);
      const { status, body } = found.state === 'answered' ? found : { status: 0, body: '' };
      const { state } = found;
      send(peer, { kind: 'bookingAnswer', from: context.node, query, state, status, body });
    },
    bookingAnswer: ({ query, state, status, body }) => {
      const done = pendingQueries.get(query);
      pendingQueries.delete(query);
      done?.(state === 'answered' ? { state, status, body } : { state });
    },
    ticketCall: receiveTicketCall,
    ticketReply: ({ query, status, contentType, body, code }) => {
      const done = pendingTicketCalls.get(query);
      pendingTicketCalls.delete(query);
      done?.(
        isCodeName(code) ? { kind: 'error', code } : { kind: 'answer', status, contentType, body },
      );
    },
  };

  return {
    queryOwner: (record, bookingKey, done) => {
      if (record.node === context.node) {
        const isSameProcess = record.incarnation === context.incarnation;
        done(isSameProcess ? options.getBookings().inspect(bookingKey) : undefined);
        return;
      }
      const member = findProcess(record.node, record.incarnation);
      if (member) queryMember(member, bookingKey, done);
      else done(undefined);
    },
    runTicket,
    receive: (message) => {
      const handler = HANDLERS[message.kind] as (received: PeerRequestMessage) => void;
      handler(message);
    },
  };
}
