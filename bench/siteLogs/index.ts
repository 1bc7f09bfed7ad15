/**
 * Measures the log volume of a node and the processor time of a log line.
 */
import { Writable } from 'node:stream';
import type { DayResult } from '../../emulator/playDay/index.js';
import { createSiteLogger } from '../../src/process/site/createSiteLogger/index.js';
import type { Row } from '../../src/commands/printOutput/index.js';
import { runExampleDay, readExampleDay } from '../siteDays/index.js';
import { round, type Measurement } from '../types.js';

const DAYS = ['calm', 'burst', 'zone-loss'] as const;
/** Maximum number of log lines that a node may write in a second. */
const MAXIMUM_LINES_PER_SECOND = 50;
const TIMED_LINES = 20_000;
/** At this processor time, 50 lines a second use a tenth of the target for control work. */
const MAXIMUM_MICROSECONDS_PER_LINE = 36;

function countBytes({ lines }: DayResult): number {
  return lines.reduce((sum, line) => sum + JSON.stringify(line).length, 0);
}

/**
 * Returns the maximum number of lines that a node logged in a second, before the logger's rate
 * limit.
 */
function findMaximumLinesPerSecond({ lines }: DayResult): number {
  const seconds = new Map<string, number>();
  for (const { node, at } of lines) {
    const second = `${node}/${Math.floor(at / 1_000)}`;
    seconds.set(second, (seconds.get(second) ?? 0) + 1);
  }
  return Math.max(0, ...seconds.values());
}

/** Returns the processor time of a log line in microseconds. */
function measureLineTime(): number {
  const stream = new Writable({
    write: (_, __, done) => {
      done();
    },
  });
  const logger = createSiteLogger({
    node: 'node-1',
    availabilityZone: 'mission',
    now: () => performance.now(),
    linesPerSecond: TIMED_LINES * 10,
    stream,
  });
  const before = process.cpuUsage();
  for (let index = 0; index < TIMED_LINES; index += 1)
    logger.log('endpoint-gone', { endpoint: `engine-${index}`, source: 'store' });
  const { user, system } = process.cpuUsage(before);
  return (user + system) / TIMED_LINES;
}

/**
 * Measures lines and bytes that a node logs per second on three example days, and the processor
 * time of a line.
 */
export async function measureSiteLogs(): Promise<Measurement> {
  const rows: Row[] = [];
  let calm = 0;
  for (const name of DAYS) {
    const { result } = await runExampleDay({ day: readExampleDay(name) });
    const nodeSeconds = (result.nodes * result.milliseconds) / 1_000;
    const linesPerSecond = result.lines.length / nodeSeconds;
    if (name === 'calm') calm = linesPerSecond;
    rows.push({
      day: name,
      'lines a node and second': round(linesPerSecond, 2),
      'bytes a node and second': Math.round(countBytes(result) / nodeSeconds),
      'most lines of a node in a second': findMaximumLinesPerSecond(result),
    });
  }
  const microseconds = measureLineTime();
  return {
    rows,
    targets: [
      {
        name: 'lines of a node on a calm day, a second',
        target: `at most ${MAXIMUM_LINES_PER_SECOND}`,
        measured: String(round(calm, 2)),
        isMet: calm <= MAXIMUM_LINES_PER_SECOND,
      },
      {
        name: 'processor time of a line',
        target: `at most ${MAXIMUM_MICROSECONDS_PER_LINE} us`,
        measured: `${round(microseconds)} us`,
        isMet: microseconds <= MAXIMUM_MICROSECONDS_PER_LINE,
      },
    ],
  };
}
