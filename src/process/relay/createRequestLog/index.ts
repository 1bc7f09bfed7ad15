/**
 * The story of one request, kept until it is known whether it is worth telling.
 */
import type { Clock } from '../../../types/clock/index.js';
import type { LogEntry, SiteLogger } from '../../site/createSiteLogger/index.js';
import { LOG_EVENTS, type LogEventName, type LogFields } from '../../site/logEvents/index.js';

/** Events that name a request. */
type RequestEventName = {
  [Name in LogEventName]: LogFields<Name> extends { readonly request: string } ? Name : never;
}[LogEventName];

/** Fields of a request's event that its log does not add itself. */
type RequestEventFields<Name extends RequestEventName> = Omit<LogFields<Name>, 'request'>;

/** Log of one request. */
export interface RequestLog {
  /** Adds an event to the story. A warning makes the story worth telling. */
  readonly add: <Name extends RequestEventName>(
    event: Name,
    fields: RequestEventFields<Name>,
  ) => void;
  /** Ends the story; it is written when it is worth telling. */
  readonly end: (isLogged: boolean) => void;
}

/** Options of {@link createRequestLog}. */
export interface CreateRequestLogOptions {
  readonly logger: Pick<SiteLogger, 'logStory'>;
  readonly clock: Pick<Clock, 'now'>;
  /** The caller's attempt. */
  readonly request: string;
}

/** Events of one request that are kept at most. */
const MAXIMUM_EVENTS = 40;

/**
 * Creates the log of one request.
 *
 * A healthy request thus writes nothing, and one that failed is told whole.
 *
 * @param options - the logger, the clock and the request
 * @returns the log
 * @example
 * const log = createRequestLog({ logger, clock, request: '9c41d07be2a35f68' });
 * log.add('first-event', { milliseconds: 120 });
 * log.end(false);
 */
export function createRequestLog(options: CreateRequestLogOptions): RequestLog {
  const { logger, clock, request } = options;
  const events: LogEntry[] = [];
  let hasWarning = false;
  return {
    add: (event, fields) => {
      if (LOG_EVENTS[event].level !== 'info') hasWarning = true;
      if (events.length >= MAXIMUM_EVENTS) return;
      // The compiler does not see that the fields of the event are whole again.
      events.push({
        event,
        fields: { request, ...fields },
        at: clock.now(),
      } as unknown as LogEntry);
    },
    end: (isLogged) => {
      if (events.length > 0 && (isLogged || hasWarning)) logger.logStory(events);
      events.length = 0;
    },
  };
}
