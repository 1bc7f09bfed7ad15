/**
 * What an endpoint says of itself in the head of an answer, beside the answer.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { EndpointAnswer, RestDemand } from '../../../types/relay/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { RelayContext } from '../types/index.js';

/** Options of {@link noteLeaving}. */
export interface NoteLeavingOptions {
  readonly endpoints: Pick<EndpointTable, 'markLeaving'>;
  readonly logger: SiteLogger;
  readonly now: number;
}

/**
 * Takes that an endpoint is leaving, and logs it when this is news.
 *
 * @param options - the table, the logger and the time
 * @param endpoint - the endpoint
 * @param source - who said so
 * @returns nothing
 * @example
 * noteLeaving({ endpoints, logger, now: clock.now() }, endpoint, 'itself');
 */
export function noteLeaving(
  { endpoints, logger, now }: NoteLeavingOptions,
  endpoint: Endpoint,
  source: 'itself' | 'peer',
): void {
  if (!endpoints.markLeaving(endpoint, now)) return;
  logger.log('endpoint-leaving', { endpoint: endpoint.record.id, source });
}

/**
 * Tells whether an answer belongs to an attempt; one that names no attempt is taken for it.
 *
 * @param facts - what the answer's head says
 * @param attempt - identifier of the attempt
 * @returns whether it does
 * @example
 * isAnswerOf(head.facts, request.caller.attempt);
 */
export function isAnswerOf(facts: EndpointAnswer, attempt: string): boolean {
  return facts.attempt === undefined || facts.attempt === attempt;
}

type NotingContext = Pick<RelayContext, 'endpoints' | 'clock' | 'logger' | 'random'>;

/** Rest of an endpoint that asked for it without a time that can be read, in milliseconds. */
const DEFAULT_REST_MILLISECONDS = 1_000;
/** How much longer a rest may be than asked, so that nodes do not come back at the same moment. */
const REST_SPREAD = 0.1;

function noteRest(context: NotingContext, endpoint: Endpoint, rest: RestDemand): void {
  const { endpoints, clock, logger, random } = context;
  const { id } = endpoint.record;
  if (rest.kind === 'unreadable') {
    logger.log('endpoint-rest-unreadable', { endpoint: id, text: rest.text });
  }
  const asked = rest.kind === 'timed' ? rest.milliseconds : DEFAULT_REST_MILLISECONDS;
  const now = clock.now();
  const wasResting = endpoint.restsUntil > now;
  endpoints.rest(endpoint, now, asked * (1 + REST_SPREAD * random()));
  if (!wasResting) logger.log('endpoint-rests', { endpoint: id, milliseconds: Math.round(asked) });
}

/**
 * Takes the load of an endpoint, that it is leaving, and the rest that it asks for.
 *
 * @param context - services of the process
 * @param endpoint - the endpoint that answered
 * @param facts - what its answer's head says
 * @returns nothing
 * @example
 * noteAnswer(context, endpoint, head.facts);
 */
export function noteAnswer(
  context: NotingContext,
  endpoint: Endpoint,
  { running, waiting = 0, isLeaving, rest, faultyAddress }: EndpointAnswer,
): void {
  const { endpoints, clock, logger } = context;
  if (running !== undefined) {
    endpoint.running = running;
    endpoint.waiting = waiting;
    endpoint.loadReadAt = clock.now();
  }
  if (isLeaving) noteLeaving({ endpoints, logger, now: clock.now() }, endpoint, 'itself');
  if (!rest) return;
  noteRest(context, endpoint, rest);
  // A later endpoint of the path may be the one without room.
  const faulty = faultyAddress === undefined ? undefined : endpoints.findByAddress(faultyAddress);
  if (faulty && faulty !== endpoint) noteRest(context, faulty, rest);
}
