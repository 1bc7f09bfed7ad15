/**
 * Logger that writes JSON lines.
 */
import winston from 'winston';

/** Options of {@link createLogger}. */
export interface CreateLoggerOptions {
  readonly level?: 'info' | 'warn' | 'error' | 'silent';
  readonly node: string;
  readonly vm: string;
  readonly availabilityZone: string;
}

/** Logger that writes one event with its fields per line. */
export interface Logger {
  readonly log: (
    level: 'info' | 'warn' | 'error',
    event: string,
    fields?: Record<string, string | number | boolean>,
  ) => void;
}

/**
 * Creates a logger that writes JSON lines to standard error.
 *
 * Every line contains the node, its VM and its availability zone. Callers must not pass prompts or keys.
 *
 * @param options - level and identity of the process
 * @returns the logger
 * @example
 * createLogger({ node: 'node-1', vm: 'vm-1', availabilityZone: 'mission' }).log('info', 'started');
 */
export function createLogger(options: CreateLoggerOptions): Logger {
  const { level = 'info', node, vm, availabilityZone } = options;
  const logger = winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: { node, vm, availabilityZone },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
  });
  // winston declares its transports as interfaces, which the rule reports as a mismatch of classes.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  logger.add(new winston.transports.Console({ stderrLevels: ['info', 'warn', 'error'] }));
  return {
    log: (lineLevel, event, fields = {}) => {
      logger.log({ level: lineLevel, message: event, ...fields });
    },
  };
}
