/**
 * Logs of a node on standard output: JSON lines, bounded in number.
 */
import winston from 'winston';
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
    /** When it happened, on the logger's clock, if not just now. */
    readonly at?: number;
  };
}[LogEventName];

/** A logger that leaves lines out when there are too many. */
export interface SiteLogger {
  /** Writes one event. */
  readonly log: <Name extends LogEventName>(event: Name, fields: LogFields<Name>) => void;
  /** Writes all events of a story, or leaves all of them out. */
  readonly logStory: (story: readonly LogEntry[]) => void;
  /** Lines that were left out since the start. */
  readonly countLeftOut: () => number;
}

/** Options of {@link createSiteLogger}. */
export interface CreateSiteLoggerOptions {
  readonly node: string;
  readonly availabilityZone: string;
  /** Milliseconds on a clock that never goes back. */
  readonly now: () => number;
  readonly linesPerSecond?: number;
  /** Where lines go; standard output by default. */
  readonly stream?: NodeJS.WritableStream | undefined;
}

const DEFAULT_LINES_PER_SECOND = 50;
const BURST_SECONDS = 4;
/** Share of the allowance that a story of a request leaves to all other lines, by level. */
const RESERVED_BY_REQUEST_LINES: Readonly<Record<LogLevel, number>> = {
  info: 0.6,
  warn: 0.3,
  error: 0.3,
};
/** Share of the allowance that a line about the node leaves to graver ones, by level. */
const RESERVED_BY_NODE_LINES: Readonly<Record<LogLevel, number>> = { info: 0.2, warn: 0, error: 0 };

function findReservedShare({ event }: LogEntry): number {
  const { level, fields } = LOG_EVENTS[event];
  const shares = 'request' in fields.shape ? RESERVED_BY_REQUEST_LINES : RESERVED_BY_NODE_LINES;
  return shares[level];
}

/**
 * Creates a logger.
 *
 * Lines beyond the rate are counted and left out: lines about requests before lines about what the
 * node believes, and of each those that only inform before warnings. A story, which counts by its
 * gravest line, is written whole or not at all. The next line that is written carries the count.
 *
 * @param options - identity of the node, clock and rate
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
  // winston declares its transports as interfaces, which the rule takes for other classes.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  logger.add(new winston.transports.Stream({ stream }));
  const maximumLines = linesPerSecond * BURST_SECONDS;
  let availableLines = maximumLines;
  let refilledAt = now();
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
  const logStory = (story: readonly LogEntry[]): void => {
    const time = now();
    availableLines = Math.min(
      maximumLines,
      availableLines + ((time - refilledAt) * linesPerSecond) / 1_000,
    );
    refilledAt = time;
    const reserved = maximumLines * Math.min(...story.map(findReservedShare));
    if (availableLines < story.length + reserved) {
      leftOut += story.length;
      return;
    }
    availableLines -= story.length;
    story.forEach(write);
  };
  return {
    log: (event, fields) => {
      // The compiler does not see that an event and its fields are an entry.
      logStory([{ event, fields } as LogEntry]);
    },
    logStory,
    countLeftOut: () => leftOut,
  };
}
