/**
 * Callers that make a process hold more than it has. Guards against a process that ends or stops answering
 * because callers send bodies in very small chunks, pipeline requests without reading responses, or open
 * connections without using them. Callers and bounds are fixed: they do not follow the code.
 */
import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, test, type TestContext } from 'node:test';
import { serveSiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import {
  createFolder,
  findFreePorts,
  readStatus,
  startPlatformProcess,
} from './support/platformProcess/index.js';
import {
  buildPlatformProgram,
  startServerProcess,
  type ServerProcess,
} from './support/serverProcess/index.js';
import {
  createPlatformConfiguration,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  waitFor,
} from './support/siteNodes/index.js';
import {
  formatUnfinishedBody,
  startCallers,
  type TargetAddress,
  type UntrustedCallers,
} from './support/untrustedCallers/index.js';

const HOST = '127.0.0.1';
const LIMITS = { heapMegabytes: 64, descriptors: 256 };
/** Resident memory that a process may use, in megabytes. */
const MAXIMUM_MEMORY_MEGABYTES = 200;
/** Descriptors that callers may occupy together with the process's own, of those in {@link LIMITS}. */
const MAXIMUM_DESCRIPTORS = 224;
const OPERATOR_KEY = 'a-key-of-sixteen-characters';

/** Process with the address that callers connect to, and one ordinary request. */
interface Subject {
  readonly process: ServerProcess;
  readonly callers: TargetAddress;
  /** Returns whether the process answers an ordinary request as it should. */
  readonly isAnswering: () => Promise<boolean>;
}

/** Route of lookups that need no credential. */
const PUBLIC_ROUTE = {
  name: 'look',
  host: 'desk.example',
  prefix: '/look/',
  route_type: 'safe',
  slo_ms: 300,
  timeout_ms: 5_000,
  priority: 1,
  public: true,
  service: PLAIN_SERVICE,
  max_attempts: 2,
};

let program = '';

/** Starts a node of the platform build with a store and two plain endpoints. */
async function startPlatformNode(context: TestContext): Promise<Subject> {
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 10_000,
    idle_timeout_ms: 15_000,
  };
  const {
    process: server,
    store,
    host,
    callerPort,
  } = await startPlatformProcess(context, {
    program,
    limits: LIMITS,
    memoryMegabytes: MAXIMUM_MEMORY_MEGABYTES,
    configuration: createPlatformConfiguration(1, { limits, routes: [PUBLIC_ROUTE] }),
  });
  const endpoints = await Promise.all(
    ['plain-1', 'plain-2'].map((id) => serveSiteEndpoint({ id, handle: respondCompletely })),
  );
  for (const endpoint of endpoints) registerEndpoint(store, endpoint, PLAIN_SERVICE);
  context.after(() => Promise.all(endpoints.map(({ crash }) => crash())));
  const isAnswering = async (): Promise<boolean> =>
    (await readStatus(callerPort, '/look/one')) === 200;
  await waitFor('the node answers', isAnswering);
  return { process: server, callers: { host, port: callerPort }, isAnswering };
}

/** Starts a node with the product's own interface, without a platform. */
async function startOwnNode(context: TestContext): Promise<Subject> {
  const folder = createFolder(context);
  const [callerPort = 0, operatorPort = 0, peerPort = 0] = await findFreePorts(3);
  const key = { environment: 'CALLER_LIMITS_TEST_KEY' };
  const settings = {
    node: { name: 'node-1', vm: 'entry-1', availabilityZone: 'abbotsford' },
    callers: { host: HOST, port: callerPort },
    operators: { host: HOST, port: operatorPort, key },
    peers: { host: HOST, port: peerPort, key },
    platform: { address: `${HOST}:1` },
    logLevel: 'error',
  };
  const path = join(folder, 'node.json');
  writeFileSync(path, JSON.stringify(settings));
  const parameters = ['--import', 'tsx', 'src/main.ts', 'serve', '--settings', path];
  const environment = { CALLER_LIMITS_TEST_KEY: OPERATOR_KEY };
  const server = startServerProcess(parameters, environment, LIMITS);
  context.after(server.end);
  const authorization = `Bearer ${OPERATOR_KEY}`;
  const isAnswering = async (): Promise<boolean> =>
    (await readStatus(callerPort, '/v1/models')) !== undefined &&
    (await readStatus(operatorPort, '/v1/status', { authorization })) === 200;
  await waitFor('the node answers', isAnswering);
  return { process: server, callers: { host: HOST, port: callerPort }, isAnswering };
}

const SUBJECTS = {
  'a node of the platform build': startPlatformNode,
  "a node with the product's own interface": startOwnNode,
};

const HEAD = 'POST /look/1 HTTP/1.1\r\nHost: desk.example\r\n';

/** One kind of callers. */
interface CallerKind {
  readonly start: (target: TargetAddress) => UntrustedCallers;
  /** Whether an ordinary request is answered while these callers are connected. */
  readonly leavesRoom: boolean;
}

const CALLER_KINDS: Readonly<Record<string, CallerKind>> = {
  'unfinished bodies in chunks of two bytes': {
    start: (target) =>
      startCallers({ target, connections: 10, blocks: formatUnfinishedBody(HEAD, 2, 150_000) }),
    leavesRoom: true,
  },
  'pipelined requests whose responses nobody reads': {
    start: (target) =>
      startCallers({
        target,
        connections: 20,
        blocks: [Buffer.from('GET /look/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n'.repeat(20_000))],
      }),
    leavesRoom: true,
  },
  'unused connections': {
    start: (target) => startCallers({ target, connections: 300, blocks: [] }),
    leavesRoom: false,
  },
};

before(() => {
  program = buildPlatformProgram();
});

after(() => {
  // The runtime keeps sockets of closed connections for a while, which delays the exit.
  setTimeout(() => process.exit(), 500).unref();
});

for (const [subject, start] of Object.entries(SUBJECTS)) {
  for (const [kind, { start: startKind, leavesRoom }] of Object.entries(CALLER_KINDS)) {
    const title = `${subject} survives ${kind}, and answers an ordinary request`;
    test(title, async (context) => {
      const { process: server, callers: target, isAnswering } = await start(context);
      const callers = startKind(target);
      context.after(callers.close);
      await callers.settle();
      const descriptors = server.countDescriptors();
      if (!leavesRoom) callers.close();
      await waitFor('an ordinary request is answered', () => {
        server.assertRunning();
        return isAnswering();
      });
      const peak = server.readPeakMegabytes();
      context.diagnostic(`peak ${peak.toFixed(0)} MB, ${descriptors} descriptors`);
      assert.ok(peak <= MAXIMUM_MEMORY_MEGABYTES, `${peak.toFixed(0)} MB`);
      assert.ok(descriptors <= MAXIMUM_DESCRIPTORS, `${descriptors} descriptors`);
    });
  }
}
