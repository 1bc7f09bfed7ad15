/**
 * Volume of the logs of a node, and the cost of a line.
 */
import { Writable } from 'node:stream';
import type { DayResult } from '../../emulator/playDay/index.js';
import { createSiteLogger } from '../../src/process/site/createSiteLogger/index.js';
import type { Row } from '../../src/commands/printOutput/index.js';
import { play, readNamedDay } from '../siteDays/index.js';
import { round, type Measurement } from '../types.js';

const DAYS = ['calm', 'burst', 'zone-loss'] as const;
/** Bound on the lines of a node in a second. */
const MOST_LINES_PER_SECOND = 50;
const TIMED_LINES = 20_000;
/** Processor time of a line at which 50 of them a second take a tenth of the target for control. */
const MOST_MICROSECONDS_A_LINE = 36;

function countBytes({ lines }: DayResult): number {
  return lines.reduce((sum, line) => sum + JSON.stringify(line).length, 0);
}

/** Most lines that one node wrote in one second, before the logger's bound. */
function findBusiest({ lines }: DayResult): number {
  const seconds = new Map<string, number>();
  for (const { node, at } of lines) {
    const second = `${node}/${Math.floor(at / 1_000)}`;
    seconds.set(second, (seconds.get(second) ?? 0) + 1);
  }
  return Math.max(0, ...seconds.values());
}

/** Processor time of a line in microseconds. */
function timeLines(): number {
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

/** Lines and bytes of a node a second on three days, and the processor time of a line. */
export async function measureSiteLogs(): Promise<Measurement> {
  const rows: Row[] = [];
  let calm = 0;
  for (const name of DAYS) {
    const { result } = await play({ day: readNamedDay(name) });
    const nodeSeconds = (result.nodes * result.milliseconds) / 1_000;
    const linesPerSecond = result.lines.length / nodeSeconds;
    if (name === 'calm') calm = linesPerSecond;
    rows.push({
      day: name,
      'lines a node and second': round(linesPerSecond, 2),
      'bytes a node and second': Math.round(countBytes(result) / nodeSeconds),
      'most lines of a node in a second': findBusiest(result),
    });
  }
  const microseconds = timeLines();
  return {
    rows,
    targets: [
      {
        name: 'lines of a node on a calm day, a second',
        target: `at most ${MOST_LINES_PER_SECOND}`,
        measured: String(round(calm, 2)),
        isMet: calm <= MOST_LINES_PER_SECOND,
      },
      {
        name: 'processor time of a line',
        target: `at most ${MOST_MICROSECONDS_A_LINE} us`,
        measured: `${round(microseconds)} us`,
        isMet: microseconds <= MOST_MICROSECONDS_A_LINE,
      },
    ],
  };
}
