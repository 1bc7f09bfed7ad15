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

test('a flood of lines stays within the rate, and what was left out is counted', () => {
  const { clock, lines, logger } = createCase(10);
  const seconds = 20;
  for (let index = 0; index < seconds * 1_000; index += 1) {
    clock.time += 1;
    logger.log('leaving', { open: index });
  }
  assert.ok(lines.length <= 10 * seconds + 40, String(lines.length));
  assert.equal(lines.length + logger.countLeftOut(), seconds * 1_000);
  const told = lines.reduce((sum, { leftOut = 0 }) => sum + leftOut, 0);
  assert.ok(logger.countLeftOut() - told < 1_000, 'all but the newest are told');
});

test('lines that only inform do not use up what warnings need', () => {
  const { lines, logger } = createCase(10);
  for (let index = 0; index < 1_000; index += 1) logger.log('leaving', { open: index });
  logger.log('store-lost', { reason: 'timeout', revision: 3 });
  assert.equal(lines.at(-1)?.message, 'store-lost');
});

test('a flood of refused requests does not hide what the node came to believe', () => {
  const { clock, lines, logger } = createCase(10);
  for (let index = 0; index < 5_000; index += 1) {
    clock.time += 1;
    logger.log('request-refused', { request: `r${index}`, code: 'overloaded' });
  }
  logger.log('endpoint-gone', { endpoint: 'e-1', source: 'store' });
  assert.equal(lines.at(-1)?.message, 'endpoint-gone');
});

test('a story is written whole or not at all, however many there are', () => {
  const { clock, lines, logger } = createCase(10);
  for (let index = 0; index < 2_000; index += 1) {
    clock.time += 1;
    const request = `r${index}`;
    logger.logStory([
      { event: 'first-event', fields: { request, milliseconds: 1 }, at: clock.time },
      { event: 'request-refused', fields: { request, code: 'overloaded' }, at: clock.time },
    ]);
  }
  const told = lines.map(({ message }) => message);
  assert.ok(told.length > 0 && told.length <= 10 * 2 + 40, String(told.length));
  assert.ok(told.every((message, index) => index % 2 === 0 || told[index - 1] !== message));
  assert.equal(told.length + logger.countLeftOut(), 4_000);
});

test('a line may carry the time at which its event happened', () => {
  const { clock, lines, logger } = createCase(10);
  clock.time = 5_000;
  logger.log('leaving', { open: 0 });
  logger.logStory([{ event: 'leaving', fields: { open: 0 }, at: 1_000 }]);
  const [now = 0, earlier = 0] = lines.map(({ timestamp }) => Date.parse(timestamp));
  assert.ok(Math.abs(now - earlier - 4_000) < 200);
});
