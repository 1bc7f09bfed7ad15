/**
 * Guards against nodes that do not learn of crashes that others saw, and against messages about crashes
 * that take more than the target allows for control: each hop ages a fact a little less than the link
 * takes, so that a node may take what it knows for news.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createVirtualTime } from '../../../../emulator/createVirtualTime/index.js';
import { createCrashReport } from '../../../../tests/support/crashReports/index.js';
import {
  createPartBreakers,
  type PartBreakers,
} from '../../../request/createPartBreakers/index.js';
import type { CrashReport } from '../../../types/breaker/index.js';
import type { NodeRecord } from '../../../types/site/index.js';
import { createRandom } from '../../createRandom/index.js';
import { decodePartFacts, encodePartFacts } from '../partFactsCodec/index.js';
import { encodePartFactsMessage } from '../peerMessageCodec/index.js';
import { createPartExchange, type PartExchange } from './index.js';

const LINK_MILLISECONDS = 2;
const LOST_SHARE = 0.05;
const ROUND_MILLISECONDS = 300;
const ZONES = 4;
/** Bounds of the target: bytes of control for a node and second, and the time to know of a crash. */
const MAXIMUM_BYTES_PER_SECOND = 6_144;
const CONTACT_MILLISECONDS = 3_000;

interface VirtualNode {
  readonly record: NodeRecord;
  readonly breakers: PartBreakers;
  readonly exchange: PartExchange;
  sentBytes: number;
  isCut: boolean;
}

function createNetwork(count: number) {
  const time = createVirtualTime();
  const random = createRandom(17);
  const nodes: VirtualNode[] = [];
  const records = Array.from({ length: count }, (_, index) => ({
    name: `node-${index}`,
    availabilityZone: `zone-${index % ZONES}`,
    callerAddress: '',
    peerAddress: String(index),
    incarnation: 1,
    isLeaving: false,
  }));
  for (const record of records) {
    const breakers = createPartBreakers({ node: record.name, onChange: () => undefined });
    const exchange = createPartExchange({
      breakers,
      clock: time,
      random,
      self: record,
      listAlive: () => records,
      send: (address, facts) => {
        const encoded = encodePartFacts(facts, time.now());
        node.sentBytes += encodePartFactsMessage(encoded).length;
        const target = nodes[Number(address)];
        if (!target || random() < LOST_SHARE || node.isCut || target.isCut) return;
        time.schedule(LINK_MILLISECONDS, () => {
          target.exchange.receive(decodePartFacts(encoded, time.now()));
        });
      },
    });
    const node: VirtualNode = { record, breakers, exchange, sentBytes: 0, isCut: false };
    nodes.push(node);
    const step = (): void => {
      exchange.step();
      time.schedule(ROUND_MILLISECONDS, step);
    };
    time.schedule(random() * ROUND_MILLISECONDS, step);
  }
  const report = (index: number, reports: readonly CrashReport[]): void => {
    const node = nodes[index];
    if (!node) return;
    node.breakers.add({ reports }, time.now());
    node.exchange.announce({ reports });
  };
  const countBlocking = (part: string): number =>
    nodes.filter(({ breakers }) => breakers.decide([part, 'other'], time.now()).kind === 'blocked')
      .length;
  return { time, nodes, report, countBlocking };
}

for (const count of [6, 36, 350]) {
  test(`${count} nodes block a part of whose crashes each saw one or none`, async () => {
    const { time, nodes, report, countBlocking } = createNetwork(count);
    await time.run(1_000);
    report(0, [createCrashReport(1_000, ['head-1', 'dead'])]);
    await time.run(1_400);
    report(count - 1, [createCrashReport(1_400, ['head-2', 'dead'])]);
    await time.run(1_400 + CONTACT_MILLISECONDS);
    assert.equal(countBlocking('dead'), count);
    await time.run(61_400);
    const bytes = nodes.map(({ sentBytes }) => sentBytes / 60);
    assert.ok(Math.max(...bytes) <= MAXIMUM_BYTES_PER_SECOND, `${Math.max(...bytes)} bytes/s`);
  });
}

for (const count of [6, 78]) {
  test(`the trial of a part becomes known to ${count} nodes and does not circulate among them`, async () => {
    const { time, nodes, report, countBlocking } = createNetwork(count);
    report(0, [createCrashReport(0, ['head-1', 'dead'])]);
    await time.run(400);
    report(1, [createCrashReport(400, ['head-2', 'dead'])]);
    await time.run(15_000);
    for (const node of nodes) node.sentBytes = 0;
    const [first] = nodes;
    const facts = { trials: [{ part: 'dead', at: time.now() }] };
    first?.breakers.add(facts, time.now());
    first?.exchange.announce(facts);
    await time.run(15_000 + CONTACT_MILLISECONDS);
    assert.equal(countBlocking('dead'), count);
    await time.run(25_000);
    const bytes = Math.max(...nodes.map(({ sentBytes }) => sentBytes / 10));
    assert.ok(bytes <= MAXIMUM_BYTES_PER_SECOND, `${bytes} bytes/s`);
  });
}

test('a success that one node saw refutes the crashes on all nodes', async () => {
  const { time, nodes, report, countBlocking } = createNetwork(36);
  const [first] = nodes;
  assert.ok(first);
  first.breakers.recordSuccess(['head', 'last', 'own'], 500);
  await time.run(1_000);
  report(5, [createCrashReport(1_000, ['head', 'dead'])]);
  await time.run(1_400);
  report(6, [createCrashReport(1_400, ['head', 'dead'])]);
  await time.run(1_400 + CONTACT_MILLISECONDS);
  assert.equal(countBlocking('dead'), 36);
  assert.equal(countBlocking('head'), 0);
});

test('a node that was cut off learns what it missed from rounds of the others', async () => {
  const { time, nodes, report } = createNetwork(36);
  const [, cut] = nodes;
  assert.ok(cut);
  cut.isCut = true;
  report(3, [createCrashReport(0, ['head-1', 'dead'])]);
  await time.run(400);
  report(4, [createCrashReport(400, ['head-2', 'dead'])]);
  await time.run(3_000);
  assert.equal(cut.breakers.hasReports(), false);
  cut.isCut = false;
  await time.run(3_000 + CONTACT_MILLISECONDS);
  assert.equal(cut.breakers.decide(['dead', 'x'], time.now()).kind, 'blocked');
});

test('crashes of a whole zone with many harmless requests stay within the bytes of the target', async () => {
  const { time, nodes, report, countBlocking } = createNetwork(350);
  for (let index = 0; index < 350; index += 1) {
    const harmless = Array.from({ length: 16 }, (_, request) =>
      createCrashReport(100, [`head-${request % 7}`], { endpoint: `i-${index % 60}` }),
    );
    report(index, harmless);
  }
  await time.run(1_000);
  report(0, [createCrashReport(1_000, ['head-x', 'dead'])]);
  await time.run(1_400);
  report(9, [createCrashReport(1_400, ['head-y', 'dead'])]);
  await time.run(1_400 + CONTACT_MILLISECONDS);
  assert.equal(countBlocking('dead'), 350);
  await time.run(11_000);
  const bytes = nodes.map(({ sentBytes }) => sentBytes / 10);
  const mean = bytes.reduce((sum, value) => sum + value, 0) / bytes.length;
  assert.ok(mean <= MAXIMUM_BYTES_PER_SECOND, `${mean} bytes/s`);
});
