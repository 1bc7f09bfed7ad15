/**
 * A short run of two nodes in this process, so that all that a node usually does has run once.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Writable } from 'node:stream';
import { sleep } from '../../bench/sleep/index.js';
import {
  createNodeSettings,
  PLATFORM_SITE_HOST,
  servePlatformSite,
  type NodeAddresses,
} from '../../standins/servePlatformSite/index.js';
import { listenOnLoopback } from '../../standins/listenOnLoopback/index.js';
import { askWhole } from '../../bench/askWhole/index.js';

/** What the bundle of a node exports. */
export interface NodeProgram {
  readonly main: (options: {
    readonly environment: NodeJS.ProcessEnv;
    readonly logStream: NodeJS.WritableStream;
  }) => Promise<void>;
}

const HOST = '127.0.0.1';
const NODES = 2;
const PORTS_A_NODE = 4;
const ENDPOINTS = 24;
const EVENTS = 20;
const STREAMS = 30;
/** Time in which the endpoints are ordered to hold layers. */
const ORDERS_MILLISECONDS = 4_000;
const PAUSE_MILLISECONDS = 40;

/** Ports that are free at the same time. */
async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    const address = await listenOnLoopback(server, { host: HOST });
    ports.push(Number(address.split(':')[1]));
  }
  for (const server of servers) await new Promise((resolve) => server.close(resolve));
  return ports;
}

async function findAddresses(): Promise<NodeAddresses[]> {
  const ports = await findFreePorts(NODES * PORTS_A_NODE);
  return Array.from({ length: NODES }, (_, node) => {
    const [callerPort = 0, readinessPort = 0, directoryPort = 0, peerPort = 0] = ports.slice(
      node * PORTS_A_NODE,
    );
    return { ip: HOST, callerPort, readinessPort, directoryPort, peerPort };
  });
}

const HEADERS = {
  Host: PLATFORM_SITE_HOST,
  'Attempt-Id': 'attempt',
  'Deadline-Ms': '5000',
  'Token-Counts': '760,120',
};

/** Asks for a path; what comes of it does not matter. */
async function ask(port: number, path: string): Promise<void> {
  await askWhole(`${HOST}:${port}`, path, HEADERS);
}

async function askAll(nodes: readonly NodeAddresses[]): Promise<void> {
  for (let stream = 0; stream < STREAMS; stream += 1) {
    for (const { callerPort, readinessPort, directoryPort } of nodes) {
      await ask(callerPort, '/ask/one');
      await ask(readinessPort, '/readyz');
      await ask(directoryPort, `/resolve?name=${PLATFORM_SITE_HOST}&region=region-1&zone=zone-1`);
      await sleep(PAUSE_MILLISECONDS);
    }
  }
}

/**
 * Runs two nodes before stand-ins and asks them for streams; they go on running.
 *
 * @param program - the bundle of a node
 * @returns resolves when the streams have ended
 * @example
 * await exerciseNodes(program);
 */
export async function exerciseNodes({ main }: NodeProgram): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-build-'));
  const site = await servePlatformSite({ endpoints: ENDPOINTS, events: EVENTS });
  const nodes = await findAddresses();
  const seeds = nodes.map(({ ip, peerPort }) => `${ip}:${peerPort}`);
  const logStream = new Writable({
    write: (_, __, done) => {
      done();
    },
  });
  for (const [index, addresses] of nodes.entries()) {
    const path = join(folder, `node-${index}.json`);
    const { storeAddress } = site;
    writeFileSync(
      path,
      JSON.stringify(createNodeSettings(index, addresses, { storeAddress, seeds })),
    );
    await main({ environment: { MARJORAMCLEAT_BOOT: path }, logStream });
  }
  await sleep(ORDERS_MILLISECONDS);
  await askAll(nodes);
  rmSync(folder, { recursive: true });
}
