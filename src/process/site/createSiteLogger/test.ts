import assert from 'node:assert/strict';
import { Writable } from 'node:stream';
import { test } from 'node:test';
import { createSiteLogger } from './index.js';

interface Line {
  readonly message: string;
  readonly timestamp: string;
  readonly leftOut?: number;
}

function createCase(linesPerSecond: number) {
  const clock = { time: 0 };
  const lines: Line[] = [];
  const stream = new Writable({
    write: (chunk: Buffer, _, done) => {
      lines.push(JSON.parse(chunk.toString()) as Line);
      done();
    },
  });
  const logger = createSiteLogger({
    node: 'n',
    availabilityZone: 'z',
    now: () => clock.time,
    linesPerSecond,
    stream,
  });
  return { clock, lines, logger };
}

test('limits the rate of lines and counts the dropped ones', () => {
  const { clock, lines, logger } = createCase(10);
  const seconds = 20;
  for (let index = 0; index < seconds * 1_000; index += 1) {
    clock.time += 1;
    logger.log('leaving', { open: index });
  }
  assert.ok(lines.length <= 10 * seconds + 40, String(lines.length));
  assert.equal(lines.length + logger.countDroppedLines(), seconds * 1_000);
  const reported = lines.reduce((sum, { leftOut = 0 }) => sum + leftOut, 0);
  assert.ok(logger.countDroppedLines() - reported < 1_000, 'all but the newest are reported');
});

test('informational lines leave capacity for warnings', () => {
  const { lines, logger } = createCase(10);
  for (let index = 0; index < 1_000; index += 1) logger.log('leaving', { open: index });
  logger.log('store-lost', { reason: 'timeout', revision: 3 });
  assert.equal(lines.at(-1)?.message, 'store-lost');
});

test('many refused requests do not displace lines about the state of the node', () => {
  const { clock, lines, logger } = createCase(10);
  for (let index = 0; index < 5_000; index += 1) {
    clock.time += 1;
    logger.log('request-refused', { request: `r${index}`, code: 'overloaded' });
  }
  logger.log('endpoint-gone', { endpoint: 'e-1', source: 'store' });
  assert.equal(lines.at(-1)?.message, 'endpoint-gone');
});

test('writes all buffered events of a request or none', () => {
  const { clock, lines, logger } = createCase(10);
  for (let index = 0; index < 2_000; index += 1) {
    clock.time += 1;
    const request = `r${index}`;
    logger.logRequestEvents([
      { event: 'first-event', fields: { request, milliseconds: 1 }, at: clock.time },
      { event: 'request-refused', fields: { request, code: 'overloaded' }, at: clock.time },
    ]);
  }
  const written = lines.map(({ message }) => message);
  assert.ok(written.length > 0 && written.length <= 10 * 2 + 40, String(written.length));
  assert.ok(written.every((message, index) => index % 2 === 0 || written[index - 1] !== message));
  assert.equal(written.length + logger.countDroppedLines(), 4_000);
});

test('writes the given time of an event as the timestamp', () => {
  const { clock, lines, logger } = createCase(10);
  clock.time = 5_000;
  logger.log('leaving', { open: 0 });
  logger.logRequestEvents([{ event: 'leaving', fields: { open: 0 }, at: 1_000 }]);
  const [now = 0, earlier = 0] = lines.map(({ timestamp }) => Date.parse(timestamp));
  assert.ok(Math.abs(now - earlier - 4_000) < 200);
});
