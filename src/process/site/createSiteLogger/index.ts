/**
 * Logs of a node on standard output: JSON lines, bounded in number.
 */
import winston from 'winston';

/** Severity of a line. */
export type LogLevel = 'info' | 'warn' | 'error';

/** Fields of a line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A logger that leaves lines out when there are too many. */
export interface SiteLogger {
  readonly log: (level: LogLevel, event: string, fields?: LogFields) => void;
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

/**
 * Creates a logger.
 *
 * Lines beyond the rate are counted and left out; the next line that is written carries the count.
 *
 * @param options - identity of the node, clock and rate
 * @returns the logger
 * @example
 * createSiteLogger({ node: 'n', availabilityZone: 'z', now }).log('info', 'started');
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
  return {
    log: (level, event, fields = {}) => {
      const at = now();
      allowance = Math.min(most, allowance + ((at - refilledAt) * linesPerSecond) / 1_000);
      refilledAt = at;
      if (allowance < 1) {
        leftOut += 1;
        return;
      }
      allowance -= 1;
      const missing = leftOut - reported;
      reported = leftOut;
      logger.log({ level, message: event, ...fields, ...(missing > 0 && { leftOut: missing }) });
    },
    countLeftOut: () => leftOut,
  };
}
