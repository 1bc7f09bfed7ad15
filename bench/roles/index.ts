/**
 * Measures the costs of the control roles of a node, each at several sizes.
 */
import http from 'node:http';
import { decideOrders, type OrderTarget } from '../../src/process/orders/decideOrders/index.js';
import { planEngineStates } from '../../src/process/orders/planEngineStates/index.js';
import { createFleet } from '../../src/connection/createFleet/index.js';
import { createLifeCycle } from '../../src/process/createLifeCycle/index.js';
import { callHttp } from '../../src/process/runtime/callHttp/index.js';
import { createPeerLinks } from '../../src/process/runtime/createPeerLinks/index.js';
import { servePeers } from '../../src/process/runtime/servePeers/index.js';
import { listAddresses } from '../../src/request/listAddresses/index.js';
import { selectorSchema } from '../../src/types/configuration/index.js';
import type { Member, PeerMessage } from '../../src/types/peer/index.js';
import { serveEngine } from '../../standins/serveEngine/index.js';
import { createVirtualEngine } from '../../standins/createVirtualFleet/index.js';
import { fitLine, type Point } from '../fitLine/index.js';
import { round, type Measurement } from '../types.js';
import { sleep } from '../sleep/index.js';

/** Cost of a role at several sizes. */
export interface RoleCost {
  readonly role: string;
  readonly size: string;
  readonly cost: string;
  readonly points: readonly Point[];
}

const KEY = 'key-of-the-peers-for-measuring';
const SAMPLE_MILLISECONDS = 4_000;
const REPEATS = 200;

/** Returns the processor time that this process uses during an action, in microseconds. */
async function measureProcessor(run: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const used = process.cpuUsage(before);
  return used.user + used.system;
}

/** Runs an action at a rate for 4 s; returns the number of runs. */
async function repeatAtRate(perSecond: number, action: () => void): Promise<number> {
  const count = Math.round((perSecond * SAMPLE_MILLISECONDS) / 1_000);
  for (let index = 0; index < count; index += 1) {
    action();
    await sleep(1_000 / perSecond);
  }
  return count;
}

function createMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    node: `node-${index.toString()}`,
    incarnation: 1_700_000_000_000_000,
    state: 'alive' as const,
    peerAddress: `10.0.0.${index.toString()}:7000`,
    callerAddress: `10.0.0.${index.toString()}:8000`,
    availabilityZone: `zone-${(index % 4).toString()}`,
    revision: 1,
  }));
}

/** Measures the microseconds per address response, by number of nodes. */
export function measureAddresses(): Point[] {
  return [6, 50, 150, 350].map((size) => {
    const members = createMembers(size);
    const computeAnswer = (index: number): void => {
      listAddresses({
        account: `account-${index.toString()}`,
        homeNodes: 3,
        members,
        availabilityZone: 'zone-1',
        revision: 1,
        expiresInSeconds: 30,
      });
    };
    for (let index = 0; index < REPEATS; index += 1) computeAnswer(index);
    const startedAt = performance.now();
    for (let index = 0; index < REPEATS; index += 1) computeAnswer(index);
    return { size, cost: round(((performance.now() - startedAt) * 1_000) / REPEATS, 2) };
  });
}

/** Measures the microseconds per pass over the orders, by number of engines. */
export function measureOrders(): Point[] {
  return [40, 160, 650].map((size) => {
    const engines = Array.from({ length: size }, (_, index) => {
      const model = `model-${(index % 38).toString()}`;
      const from = (index % 4) * 12;
      return createVirtualEngine({ name: `e${index.toString()}`, from, to: from + 12, model });
    });
    const fleet = createFleet();
    fleet.updateVms(
      engines.map(({ name, report }) => ({
        name,
        address: name,
        availabilityZone: 'a',
        state: 'live' as const,
        tags: { kind: 'engine', name, role: report.model, 'layer-capacity': '12' },
      })),
    );
    for (const { name, report } of engines) fleet.applyReport(name, report, 0);
    const selectors = Array.from({ length: 38 }, (_, index) =>
      selectorSchema.parse({
        name: `s${index.toString()}`,
        endpoints: { role: `model-${index.toString()}` },
        serve: { kind: 'model', model: `model-${index.toString()}`, version: '1', layers: 48 },
      }),
    );
    const targets: OrderTarget[] = engines.map(({ name, report }) => ({
      name,
      report,
      isBusy: false,
    }));
    const runPass = (): void => {
      decideOrders({
        desired: planEngineStates(selectors, fleet.list()),
        engines: targets,
        maximumOrders: 2,
      });
    };
    for (let index = 0; index < 10; index += 1) runPass();
    const startedAt = performance.now();
    for (let index = 0; index < 20; index += 1) runPass();
    return { size, cost: round(((performance.now() - startedAt) * 1_000) / 20, 1) };
  });
}

/**
 * Measures the processor time of gossip messages over gRPC at both ends, in microseconds per
 * second, by messages per second.
 */
export async function measureMessages(): Promise<Point[]> {
  const lifeCycle = createLifeCycle();
  const listener = { host: '127.0.0.1', port: 0, allowPlaintextBeyondLoopback: false };
  const port = await servePeers({ listener, key: KEY, lifeCycle, feed: () => true });
  const links = createPeerLinks({ key: KEY, lifeCycle, onDropped: () => undefined });
  const facts = Array.from({ length: 40 }, (_, index) => ({
    key: `load/engine-${index.toString()}`,
    version: 1_700_000_000_000,
    value: '4',
  }));
  const message: PeerMessage = {
    kind: 'ping',
    sequence: 1,
    digest: 1,
    from: 'node-1',
    revision: 1,
    limits: [],
    members: [],
    facts,
  };
  const address = `127.0.0.1:${port.toString()}`;
  const points: Point[] = [];
  for (const perSecond of [20, 100, 300]) {
    const microseconds = await measureProcessor(async () => {
      await repeatAtRate(perSecond, () => {
        links.send(address, message);
      });
    });
    points.push({
      size: perSecond,
      cost: Math.round(microseconds / (SAMPLE_MILLISECONDS / 1_000)),
    });
  }
  await lifeCycle.close();
  return points;
}

/**
 * Measures the processor time of polling at both ends, in microseconds per second, by polls per
 * second.
 */
export async function measurePolls(): Promise<Point[]> {
  const engine = await serveEngine({ name: 'e', port: 0, seed: 1, layersPerSecond: 1 });
  const agent = new http.Agent({ keepAlive: true });
  const points: Point[] = [];
  for (const perSecond of [20, 100, 300]) {
    const microseconds = await measureProcessor(async () => {
      await repeatAtRate(perSecond, () => {
        callHttp(
          {
            address: engine.address,
            method: 'GET',
            path: '/report',
            timeoutMilliseconds: 900,
            agent,
          },
          () => undefined,
        );
      });
    });
    points.push({
      size: perSecond,
      cost: Math.round(microseconds / (SAMPLE_MILLISECONDS / 1_000)),
    });
  }
  agent.destroy();
  await engine.close();
  return points;
}

/** Measures address responses, orders, gossip messages and engine polls. */
export async function measureRoles(): Promise<Measurement> {
  const roles: RoleCost[] = [
    { role: 'address answers', size: 'nodes', cost: 'µs an answer', points: measureAddresses() },
    { role: 'orders', size: 'engines', cost: 'µs a pass', points: measureOrders() },
    {
      role: 'gossip messages',
      size: 'messages/s',
      cost: 'µs/s, both ends',
      points: await measureMessages(),
    },
    {
      role: 'engine polls',
      size: 'polls/s',
      cost: 'µs/s, both ends',
      points: await measurePolls(),
    },
  ];
  return {
    rows: roles.map(({ role, size, cost, points }) => {
      const line = fitLine(points);
      return {
        role,
        size,
        cost,
        points: points
          .map((point) => `${point.size.toString()}: ${point.cost.toString()}`)
          .join(', '),
        slope: round(line.slope, 3),
        'fit error %': round(line.error * 100),
      };
    }),
    targets: [],
  };
}
