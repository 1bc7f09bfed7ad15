/**
 * Endpoints that send bytes without an end to many requests at a time. Guards against a process that keeps them all
 * and ends for lack of memory. Callers, endpoints and the bound are fixed: they do not follow the code.
 */
import assert from 'node:assert/strict';
import { after, before, test, type TestContext } from 'node:test';
import { connect, type Socket } from 'node:net';
import { sleep } from '../bench/sleep/index.js';
import { serveSiteEndpoint } from '../standins/serveSiteEndpoint/index.js';
import {
  ENDLESS_RESPONSES,
  ENDLESS_STREAMS,
  fillPiece,
  serveEndlessEndpoint,
  type EndlessBytes,
  type Responder,
} from './support/endlessEndpoint/index.js';
import {
  readStatus,
  startPlatformProcess,
  type PlatformProcess,
} from './support/platformProcess/index.js';
import { buildPlatformProgram } from './support/serverProcess/index.js';
import {
  createPlatformConfiguration,
  ENGINE,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  respondCompletely,
  waitFor,
} from './support/siteNodes/index.js';

const LIMITS = { heapMegabytes: 64, descriptors: 1_024 };
/** Resident memory that a process may use, in megabytes. */
const MAXIMUM_MEMORY_MEGABYTES = 200;
/** Number of requests at a time, and how long their callers wait, in milliseconds. */
const REQUESTS = 30;
const DEADLINE_MILLISECONDS = 2_000;
const ENDLESS_ENDPOINTS = 8;
/** Time in which the node applies the entries of endpoints, in milliseconds. */
const REGISTRATION_MILLISECONDS = 500;
const SOUND_SERVICE = 'sound';
const LAYERS = { from: 0, to: 4 };
const NO_BYTES: EndlessBytes = { start: '', piece: '' };

const ROUTE = {
  host: 'desk.example',
  slo_ms: 300,
  timeout_ms: 5_000,
  priority: 1,
  public: true,
  max_attempts: 2,
};
const CONFIGURATION = createPlatformConfiguration(1, {
  routes: [
    { ...ROUTE, name: 'look', prefix: '/look/', route_type: 'safe', service: PLAIN_SERVICE },
    { ...ROUTE, name: 'ask', prefix: '/ask/', route_type: 'streaming', service: MODEL_SERVICE },
    { ...ROUTE, name: 'sound', prefix: '/sound/', route_type: 'safe', service: SOUND_SERVICE },
  ],
  services: [
    { name: PLAIN_SERVICE },
    { name: MODEL_SERVICE, engine: ENGINE },
    { name: SOUND_SERVICE },
  ],
});

let program = '';

/** Node with endpoints whose responses have no end, and one of another service whose responses are sound. */
interface Subject extends PlatformProcess {
  /** Starts the endpoints anew, so that the node has no failures of them, with other responses. */
  readonly restart: (responder: Responder) => Promise<void>;
}

function isReport(requestLine: string): boolean {
  return requestLine.startsWith('GET /report ');
}

async function startSubject(context: TestContext, service: string): Promise<Subject> {
  const node = await startPlatformProcess(context, {
    program,
    limits: LIMITS,
    memoryMegabytes: MAXIMUM_MEMORY_MEGABYTES,
    configuration: CONFIGURATION,
  });
  const sound = await serveSiteEndpoint({ id: 'sound-1', handle: respondCompletely });
  const endless = await Promise.all(
    Array.from({ length: ENDLESS_ENDPOINTS }, () => serveEndlessEndpoint()),
  );
  registerEndpoint(node.store, sound, SOUND_SERVICE);
  context.after(() => Promise.all([sound.crash(), ...endless.map(({ close }) => close())]));
  await waitFor(
    'the node answers',
    async () => (await readStatus(node.callerPort, '/sound/one')) === 200,
  );
  let startedAt = 0;
  const restart = async (responder: Responder): Promise<void> => {
    startedAt += 1;
    endless.forEach(({ address, setResponder }, index) => {
      setResponder(responder);
      const endpoint = { id: `endless-${index}`, address };
      registerEndpoint(node.store, endpoint, service, { layers: LAYERS, born: startedAt });
    });
    await sleep(REGISTRATION_MILLISECONDS);
  };
  return { ...node, restart };
}

/** Sends requests at the same time; resolves when all have ended. */
async function sendRequests({ callerPort }: Subject, path: string): Promise<void> {
  const headers = { 'Deadline-Ms': String(DEADLINE_MILLISECONDS), 'Token-Counts': '20,10' };
  await Promise.all(
    Array.from({ length: REQUESTS }, (_, index) =>
      readStatus(callerPort, path, { ...headers, 'Attempt-Id': `attempt-${index}` }),
    ),
  );
}

/** Checks that the process runs within its memory and answers an ordinary request. */
async function checkProcess(subject: Subject, context: TestContext, part: string): Promise<void> {
  subject.process.assertRunning();
  assert.equal(await readStatus(subject.callerPort, '/sound/one'), 200, part);
  const peak = subject.process.readPeakMegabytes();
  context.diagnostic(`${part}: peak ${peak.toFixed(0)} MB`);
  assert.ok(peak <= MAXIMUM_MEMORY_MEGABYTES, `${part}: ${peak.toFixed(0)} MB`);
}

before(() => {
  program = buildPlatformProgram();
});

after(() => {
  // The runtime keeps sockets of closed connections for a while, which delays the exit.
  setTimeout(() => process.exit(), 500).unref();
});

test('a process survives responses without an end', async (context) => {
  const subject = await startSubject(context, PLAIN_SERVICE);
  for (const [part, bytes] of Object.entries(ENDLESS_RESPONSES)) {
    await subject.restart(() => bytes);
    await sendRequests(subject, '/look/one');
    await checkProcess(subject, context, part);
  }
});

test('a process survives streams without an end', async (context) => {
  const subject = await startSubject(context, MODEL_SERVICE);
  for (const [part, bytes] of Object.entries(ENDLESS_STREAMS)) {
    await subject.restart((line) => (isReport(line) ? NO_BYTES : bytes));
    await sendRequests(subject, '/ask/one');
    await checkProcess(subject, context, part);
  }
});

test('a process survives reports without an end', async (context) => {
  const subject = await startSubject(context, MODEL_SERVICE);
  for (const [part, bytes] of Object.entries(ENDLESS_RESPONSES)) {
    await subject.restart((line) => (isReport(line) ? bytes : NO_BYTES));
    await sendRequests(subject, '/ask/one');
    await checkProcess(subject, context, part);
  }
});

/** Opens connections that send one request each and never read. */
function connectWithoutReading({ host, callerPort }: Subject): Socket[] {
  return Array.from({ length: REQUESTS }, (_, index) => {
    const socket = connect({ host, port: callerPort });
    socket.pause();
    socket.on('error', () => undefined);
    const fields = `Host: desk.example\r\nAttempt-Id: a-${index}\r\nToken-Counts: 20,10\r\n`;
    socket.write(`GET /ask/one HTTP/1.1\r\n${fields}\r\n`);
    return socket;
  });
}

test('a process survives streams without an end whose callers do not read', async (context) => {
  const subject = await startSubject(context, MODEL_SERVICE);
  const head = 'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n';
  const events = Array.from({ length: 200_000 }, (_, index) => `id: ${index + 1}\ndata: x\n\n`);
  const stream = { start: `${head}${events.join('')}`, piece: fillPiece(': ') };
  await subject.restart((line) => (isReport(line) ? NO_BYTES : stream));
  const callers = connectWithoutReading(subject);
  context.after(() => {
    for (const caller of callers) caller.destroy();
  });
  await sleep(2 * DEADLINE_MILLISECONDS);
  await checkProcess(subject, context, 'unread events');
});
