/**
 * Buffered log of one request; its events are written only on request or when one is a warning.
 */
import type { Clock } from '../../../types/clock/index.js';
import type { LogEntry, SiteLogger } from '../../site/createSiteLogger/index.js';
import { LOG_EVENTS, type LogEventName, type LogFields } from '../../site/logEvents/index.js';

/** Log events that have the field `request`. */
type RequestEventName = {
  [Name in LogEventName]: LogFields<Name> extends { readonly request: string } ? Name : never;
}[LogEventName];

/** Fields of an event without `request`, which the log adds. */
type RequestEventFields<Name extends RequestEventName> = Omit<LogFields<Name>, 'request'>;

/** Log of one request. */
export interface RequestLog {
  /** Adds an event. An event of level warn or higher causes the log to be written at its end. */
  readonly add: <Name extends RequestEventName>(
    event: Name,
    fields: RequestEventFields<Name>,
  ) => void;
  /** Writes the events when requested or when one is a warning, and clears the log. */
  readonly end: (isLogged: boolean) => void;
}

/** Options of {@link createRequestLog}. */
export interface CreateRequestLogOptions {
  readonly logger: Pick<SiteLogger, 'logRequestEvents'>;
  readonly clock: Pick<Clock, 'now'>;
  /** Identifier of the caller's attempt. */
  readonly request: string;
}

/** Maximum number of buffered events of one request; the last of them is the latest event. */
const MAXIMUM_EVENTS = 40;

/**
 * Creates the log of one request.
 *
 * A successful request writes nothing, and a failed one writes all of its events.
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
      if (events.length >= MAXIMUM_EVENTS) events.pop();
      // The compiler cannot infer that the added `request` completes the fields of the event.
      events.push({
        event,
        fields: { request, ...fields },
        at: clock.now(),
      } as unknown as LogEntry);
    },
    end: (isLogged) => {
      if (events.length > 0 && (isLogged || hasWarning)) logger.logRequestEvents(events);
      events.length = 0;
    },
  };
}
