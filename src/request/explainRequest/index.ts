/**
 * Events of one request, collected from the log lines of several nodes.
 */
import { z } from 'zod';
import { parseJson } from '../../process/parseJson/index.js';

const lineSchema = z.looseObject({
  timestamp: z.string(),
  node: z.string(),
  message: z.string(),
});

type LogLine = z.infer<typeof lineSchema>;

/** One event of the explanation. */
export interface RequestEventLine {
  readonly timestamp: string;
  readonly node: string;
  readonly event: string;
  /** Other fields of the log line as text. */
  readonly details: string;
  /** True when the line names the request, false when it only concerns an endpoint of the request. */
  readonly isOwn: boolean;
}

/** Time before the first line of the request from which events of its endpoints are included, in milliseconds. */
const BEFORE_MILLISECONDS = 5_000;
/** Time after the last line of the request up to which they are included, in milliseconds. */
const AFTER_MILLISECONDS = 2_000;
/** Event of a request for which no path had enough free memory. */
const PATH_MISSING = 'path-missing';
/** Events that show why layers are missing or have no free memory. */
const PLACEMENT_EVENTS: ReadonlySet<string> = new Set([
  'endpoint-lost',
  'endpoint-gone',
  'endpoint-draining',
  'endpoint-ejected',
  'endpoint-pace',
  'order-sent',
  'order-done',
  'planner-waits',
]);
/** Events of a blocked part, and of the crashes for which it is blocked. */
const PART_EVENTS: ReadonlySet<string> = new Set(['part-blocked', 'part-cleared']);
const CRASH = 'endpoint-crashed';
const FIELDS_LEFT_OUT: ReadonlySet<string> = new Set([
  'timestamp',
  'node',
  'message',
  'level',
  'availabilityZone',
]);
const ENDPOINT_IN_PATH = /[^\s=]+(?==\d+-\d+)/g;

function readLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  return lineSchema.safeParse(parseJson(text.slice(start))).data;
}

function readText(line: LogLine, field: string): string {
  const value = line[field];
  return typeof value === 'string' ? value : '';
}

function listEndpoints(lines: readonly LogLine[]): ReadonlySet<string> {
  const endpoints = lines.flatMap((line) => [
    readText(line, 'endpoint'),
    ...(readText(line, 'path').match(ENDPOINT_IN_PATH) ?? []),
  ]);
  return new Set(endpoints.filter((endpoint) => endpoint !== ''));
}

/** Returns whether a line is about a request, alone or among others. */
function namesRequest(line: LogLine, request: string): boolean {
  return line.request === request || readText(line, 'attempts').split(' ').includes(request);
}

function formatLine(line: LogLine, isOwn: boolean): RequestEventLine {
  const details = Object.entries(line)
    .filter(([field]) => !FIELDS_LEFT_OUT.has(field))
    .map(
      ([field, value]) => `${field}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
    )
    .join(' ');
  const { timestamp, node, message } = line;
  return { timestamp, node, event: message, details, isOwn };
}

/**
 * Lists the log events that explain the course of a request.
 *
 * Includes the lines that name the request, and the events of the endpoints on its paths from five
 * seconds before its first line to two seconds after its last one. When no path had enough free memory,
 * all placement events of that time are included. For a blocked request, all events of its blocked part
 * and the crashes for which that is blocked are included, whenever they happened.
 *
 * @param texts - log lines in any order; other lines are ignored
 * @param request - identifier of the caller's attempt
 * @returns the events in order of time; empty when no line names the request
 * @example
 * explainRequest(readFileSync('node-1.log', 'utf8').split('\n'), '9c41d07be2a35f68');
 */
export function explainRequest(texts: readonly string[], request: string): RequestEventLine[] {
  const lines = texts.flatMap((text) => readLine(text) ?? []);
  const requestLines = lines.filter((line) => namesRequest(line, request));
  if (requestLines.length === 0) return [];
  const endpoints = listEndpoints(requestLines);
  const times = requestLines.map(({ timestamp }) => Date.parse(timestamp));
  const from = Math.min(...times) - BEFORE_MILLISECONDS;
  const to = Math.max(...times) + AFTER_MILLISECONDS;
  const parts = new Set(requestLines.map((line) => readText(line, 'part')).filter(Boolean));
  const crashed = new Set(requestLines.flatMap((line) => readText(line, 'endpoints').split(' ')));
  const hadNoPath = requestLines.some(({ message }) => message === PATH_MISSING);
  /** Whether a line tells of the request's blocked part, or of a crash that decided it, at any time. */
  const isOfBlock = (line: LogLine): boolean =>
    PART_EVENTS.has(line.message)
      ? parts.has(readText(line, 'part'))
      : line.message === CRASH && crashed.has(readText(line, 'endpoint'));
  const related = lines.filter((line) => {
    if (line.request === undefined && isOfBlock(line)) return true;
    const at = Date.parse(line.timestamp);
    const isInWindow = at >= from && at <= to;
    const isPlacement = hadNoPath && PLACEMENT_EVENTS.has(line.message);
    const isRelated = isPlacement || endpoints.has(readText(line, 'endpoint'));
    return isInWindow && line.request === undefined && isRelated && !namesRequest(line, request);
  });
  return [
    ...requestLines.map((line) => formatLine(line, true)),
    ...related.map((line) => formatLine(line, false)),
  ].sort((left, right) => left.timestamp.localeCompare(right.timestamp));
}
