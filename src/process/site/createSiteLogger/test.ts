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

test('a line may carry the time at which its event happened', () => {
  const { clock, lines, logger } = createCase(10);
  clock.time = 5_000;
  logger.log('leaving', { open: 0 });
  logger.log('leaving', { open: 0 }, 1_000);
  const [now = 0, earlier = 0] = lines.map(({ timestamp }) => Date.parse(timestamp));
  assert.ok(Math.abs(now - earlier - 4_000) < 200);
});
