/**
 * Logger of a node on standard output: JSON lines at a limited rate.
 */
import winston from 'winston';
import { createTokenBucket } from '../../../request/createTokenBucket/index.js';
import {
  LOG_EVENTS,
  type LogEventName,
  type LogFields,
  type LogLevel,
} from '../logEvents/index.js';

/** One event with its fields. */
export type LogEntry = {
  [Name in LogEventName]: {
    readonly event: Name;
    readonly fields: LogFields<Name>;
    /** When the event happened, in milliseconds on the logger's clock; now by default. */
    readonly at?: number;
  };
}[LogEventName];

/** Logger that drops lines above a rate limit. */
export interface SiteLogger {
  /** Writes one event. */
  readonly log: <Name extends LogEventName>(event: Name, fields: LogFields<Name>) => void;
  /** Writes all buffered events of a request, or drops all of them. */
  readonly logRequestEvents: (entries: readonly LogEntry[]) => void;
  /** Returns the number of lines dropped since the start. */
  readonly countDroppedLines: () => number;
}

/** Options of {@link createSiteLogger}. */
export interface CreateSiteLoggerOptions {
  readonly node: string;
  readonly availabilityZone: string;
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number;
  readonly linesPerSecond?: number;
  /** Output stream; standard output by default. */
  readonly stream?: NodeJS.WritableStream | undefined;
}

const DEFAULT_LINES_PER_SECOND = 50;
const BURST_SECONDS = 4;
/** Share of the line limit that events of a request leave to all other lines, by level. */
const RESERVED_BY_REQUEST_LINES: Readonly<Record<LogLevel, number>> = {
  info: 0.6,
  warn: 0.3,
  error: 0.3,
};
/** Share of the line limit that a line about the node leaves to more severe ones, by level. */
const RESERVED_BY_NODE_LINES: Readonly<Record<LogLevel, number>> = { info: 0.2, warn: 0, error: 0 };

function findReservedShare({ event }: LogEntry): number {
  const { level, fields } = LOG_EVENTS[event];
  const shares = 'request' in fields.shape ? RESERVED_BY_REQUEST_LINES : RESERVED_BY_NODE_LINES;
  return shares[level];
}

/**
 * Creates a logger.
 *
 * Lines above the rate are dropped and counted: lines about requests before lines about the node's
 * state, and among each, informational lines before warnings. The buffered events of a request count by
 * their most severe level and are written all or none. The next line that is written carries the count.
 *
 * @param options - identity of the node, clock and rate limit
 * @returns the logger
 * @example
 * createSiteLogger({ node: 'n', availabilityZone: 'z', now }).log('leaving', { open: 0 });
 */
export function createSiteLogger(options: CreateSiteLoggerOptions): SiteLogger {
  const { node, availabilityZone, now, stream = process.stdout } = options;
  const { linesPerSecond = DEFAULT_LINES_PER_SECOND } = options;
  const logger = winston.createLogger({
    defaultMeta: { node, availabilityZone },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
  });
  // winston declares its transports as interfaces, which the rule reports as a mismatch of classes.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  logger.add(new winston.transports.Stream({ stream }));
  const maximumLines = linesPerSecond * BURST_SECONDS;
  const lineLimit = createTokenBucket({
    tokensPerSecond: linesPerSecond,
    burst: maximumLines,
    now,
  });
  let leftOut = 0;
  let reported = 0;
  const formatTime = (at: number): string => new Date(Date.now() - (now() - at)).toISOString();
  const write = ({ event, fields, at }: LogEntry): void => {
    const missing = leftOut - reported;
    reported = leftOut;
    logger.log({
      level: LOG_EVENTS[event].level,
      message: event,
      ...(at !== undefined && { timestamp: formatTime(at) }),
      ...fields,
      ...(missing > 0 && { leftOut: missing }),
    });
  };
  const logRequestEvents = (entries: readonly LogEntry[]): void => {
    const reserved = maximumLines * Math.min(...entries.map(findReservedShare));
    if (lineLimit.countAvailable() < entries.length + reserved) {
      leftOut += entries.length;
      return;
    }
    lineLimit.take(entries.length);
    entries.forEach(write);
  };
  return {
    log: (event, fields) => {
      // The compiler cannot infer that an event and its fields form an entry.
      logRequestEvents([{ event, fields } as LogEntry]);
    },
    logRequestEvents,
    countDroppedLines: () => leftOut,
  };
}
