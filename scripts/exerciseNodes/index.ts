/**
 * Runs two nodes in this process for a short time, so that the code of a node's normal operation
 * has run once.
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
import { fetchStatus } from '../../bench/fetchStatus/index.js';

/** Exports of a node's bundle. */
export interface NodeProgram {
  readonly main: (options: {
    readonly environment: NodeJS.ProcessEnv;
    readonly logStream: NodeJS.WritableStream;
  }) => Promise<void>;
}

const HOST = '127.0.0.1';
const NODE_COUNT = 2;
const PORTS_PER_NODE = 4;
const ENDPOINT_COUNT = 24;
const EVENTS_PER_STREAM = 20;
const STREAMS_PER_NODE = 30;
/** Time in which the endpoints are ordered to load layers. */
const LAYER_LOAD_MILLISECONDS = 4_000;
const REQUEST_INTERVAL_MILLISECONDS = 40;

/** Returns ports that are free at the same time. */
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
  const ports = await findFreePorts(NODE_COUNT * PORTS_PER_NODE);
  return Array.from({ length: NODE_COUNT }, (_, node) => {
    const [callerPort = 0, readinessPort = 0, directoryPort = 0, peerPort = 0] = ports.slice(
      node * PORTS_PER_NODE,
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

/** Sends a request and ignores the response. */
async function sendRequest(port: number, path: string): Promise<void> {
  await fetchStatus(`${HOST}:${port}`, path, HEADERS);
}

async function sendRequests(nodes: readonly NodeAddresses[]): Promise<void> {
  for (let stream = 0; stream < STREAMS_PER_NODE; stream += 1) {
    for (const { callerPort, readinessPort, directoryPort } of nodes) {
      await sendRequest(callerPort, '/ask/one');
      await sendRequest(readinessPort, '/readyz');
      await sendRequest(
        directoryPort,
        `/resolve?name=${PLATFORM_SITE_HOST}&region=region-1&zone=zone-1`,
      );
      await sleep(REQUEST_INTERVAL_MILLISECONDS);
    }
  }
}

/**
 * Starts two nodes with stand-ins of the store and the endpoints, and requests streams of them. The
 * nodes keep running.
 *
 * @param program - the bundle of a node
 * @returns resolves when the streams have ended
 * @example
 * await exerciseNodes(program);
 */
export async function exerciseNodes({ main }: NodeProgram): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'marjoramcleat-build-'));
  const site = await servePlatformSite({ endpoints: ENDPOINT_COUNT, events: EVENTS_PER_STREAM });
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
  await sleep(LAYER_LOAD_MILLISECONDS);
  await sendRequests(nodes);
  rmSync(folder, { recursive: true });
}
