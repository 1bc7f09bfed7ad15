/**
 * Logs of a node on standard output: JSON lines, bounded in number.
 */
import winston from 'winston';
import { LOG_EVENTS, type LogEventName, type LogFields } from '../logEvents/index.js';

/** A logger that leaves lines out when there are too many. */
export interface SiteLogger {
  /** Writes one event; `at` is when it happened, on the logger's clock, if not just now. */
  readonly log: <Name extends LogEventName>(
    event: Name,
    fields: LogFields<Name>,
    at?: number,
  ) => void;
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
/** Share of the allowance that is kept for warnings and errors. */
const KEPT_SHARE = 0.25;

/**
 * Creates a logger.
 *
 * Lines beyond the rate are counted and left out, those that only inform before warnings; the next
 * line that is written carries the count.
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
  const most = linesPerSecond * BURST_SECONDS;
  let allowance = most;
  let refilledAt = now();
  let leftOut = 0;
  let reported = 0;
  const formatTime = (at: number): string => new Date(Date.now() - (now() - at)).toISOString();
  return {
    log: (event, fields, at) => {
      const time = now();
      allowance = Math.min(most, allowance + ((time - refilledAt) * linesPerSecond) / 1_000);
      refilledAt = time;
      const { level } = LOG_EVENTS[event];
      const kept = level === 'info' ? most * KEPT_SHARE : 0;
      if (allowance < 1 + kept) {
        leftOut += 1;
        return;
      }
      allowance -= 1;
      const missing = leftOut - reported;
      reported = leftOut;
      logger.log({
        level,
        message: event,
        ...(at !== undefined && { timestamp: formatTime(at) }),
        ...fields,
        ...(missing > 0 && { leftOut: missing }),
      });
    },
    countLeftOut: () => leftOut,
  };
}
