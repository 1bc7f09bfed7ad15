/**
 * Faults that operators of similar systems met, provoked on the path of the platform's requests.
 */
import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { after, afterEach, beforeEach, test } from 'node:test';
import {
  createSeal,
  serveSiteEndpoint,
  writeEvents,
  type Behaviour,
  type SiteEndpoint,
} from '../standins/serveSiteEndpoint/index.js';
import type { SiteStore } from '../standins/serveSiteStore/index.js';
import {
  streamWhole,
  EVENTS,
  WHOLE_STREAM,
  call,
  createWireConfiguration,
  MODEL_SERVICE,
  PLAIN_SERVICE,
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type CallerAnswer,
  type TestNode,
} from './support/siteNodes/index.js';
import { listenOnLoopback } from '../standins/listenOnLoopback/index.js';

/** Pause between the events of a slow but sound stream, in milliseconds. */
const SLOW_MILLISECONDS = 300;
const DRIP_MILLISECONDS = 40;
const LATE_MILLISECONDS = 60;
const ALL_LAYERS = { layers: { from: 0, to: 4 } };

const streamSlowly: Behaviour = (request, response) => {
  writeEvents(request, response, 1);
  let last = 1;
  const timer = setInterval(() => {
    last += 1;
    response.write(`id: ${last}\ndata: t${last}\n\n`);
    if (last < EVENTS) return;
    clearInterval(timer);
    response.end();
  }, SLOW_MILLISECONDS);
};
/** One whole event, and then a byte of the next one now and then, without an end. */
const drip: Behaviour = (request, response) => {
  writeEvents(request, response, 1);
  response.write('id: 2\ndata: ');
  const timer = setInterval(() => response.write('x'), DRIP_MILLISECONDS);
  response.on('close', () => {
    clearInterval(timer);
  });
};
/** A whole answer, of which the framing says more than comes before the connection ends. */
const breakOff: Behaviour = (request, response) => {
  response.writeHead(200, { ...createSeal(request), 'Content-Length': '40' });
  response.write('only a part');
  setImmediate(() => response.destroy());
};

let store: SiteStore;
let node: TestNode;
let endpoints: SiteEndpoint[];

async function addEndpoint(id: string, service: string, behave: Behaviour): Promise<SiteEndpoint> {
  const endpoint = await serveSiteEndpoint({ id, behave });
  endpoints.push(endpoint);
  if (service === MODEL_SERVICE) endpoint.layers = ALL_LAYERS.layers;
  registerEndpoint(store, endpoint, service, service === MODEL_SERVICE ? ALL_LAYERS : {});
  await waitFor(`${id} is known`, () => node.logs.some((line) => line.includes(`"${id}"`)));
  return endpoint;
}

function ask(): Promise<CallerAnswer> {
  const headers = { 'Token-Counts': '20,10' };
  return call({ address: node.callers, path: '/ask/one', headers });
}

beforeEach(async () => {
  endpoints = [];
  store = await startStore();
  store.put('op/config', createWireConfiguration(1));
  node = await startNode('node-1', store);
  await waitUntilReady(node);
});

afterEach(async () => {
  await node.node.leave();
  await Promise.all(endpoints.map((endpoint) => endpoint.crash()));
  await store.close();
});

after(() => {
  // The runtime keeps sockets of cut connections for a while.
  setTimeout(() => process.exit(), 500).unref();
});

test('a slow but sound stream is not cut', async () => {
  const slow = await addEndpoint('engine-slow', MODEL_SERVICE, streamSlowly);
  const answer = await ask();
  assert.equal(answer.body, WHOLE_STREAM);
  assert.ok(answer.isWhole);
  assert.equal(slow.received.length, 1);
});

test('a stalled stream that sends a byte now and then goes on at another endpoint', async () => {
  const dripping = await addEndpoint('engine-drip', MODEL_SERVICE, drip);
  const pending = ask();
  await waitFor('the stalled endpoint has the request', () => dripping.received.length > 0);
  const sound = await addEndpoint('engine-sound', MODEL_SERVICE, streamWhole);
  const answer = await pending;
  assert.equal(answer.body, WHOLE_STREAM);
  assert.equal(sound.received[0]?.headers['last-event-id'], '1');
  await waitFor('the stalled call is dropped', () => dripping.received[0]?.wasCut === true);
});

test('an answer that broke off halfway never looks whole', async () => {
  await addEndpoint('plain-1', PLAIN_SERVICE, breakOff);
  const answer = await call({
    address: node.callers,
    path: '/book/one',
    method: 'POST',
    body: 'b',
  });
  assert.equal(answer.status, 502);
  assert.ok(!answer.body.includes('only a part'));
});

/** An endpoint that answers each request twice on its connection, the second time late. */
async function serveTwice(): Promise<{ address: string; close: () => Promise<void> }> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const attempt = /attempt-id: (\S+)/i.exec(bytes.toString())?.[1] ?? '';
      const body = `for ${attempt}`;
      const answer = `HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${attempt}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      socket.write(answer);
      setTimeout(() => socket.write(answer), LATE_MILLISECONDS);
    });
  });
  const address = await listenOnLoopback(server);
  return {
    address,
    close: () =>
      new Promise((resolve) => {
        for (const socket of sockets) socket.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
}

test('a second copy of an answer never reaches the next caller', async () => {
  const twice = await serveTwice();
  registerEndpoint(store, { id: 'plain-twice', address: twice.address }, PLAIN_SERVICE);
  await waitFor('it is known', () => node.logs.some((line) => line.includes('plain-twice')));
  for (let index = 0; index < 12; index += 1) {
    const attempt = `caller-${index}`;
    const headers = { 'Attempt-Id': attempt };
    const answer = await call({
      address: node.callers,
      path: '/book/one',
      method: 'POST',
      headers,
    });
    assert.equal(answer.body, `for ${attempt}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await twice.close();
});

test('requests that a node has taken are answered whole although it leaves at once', async () => {
  const leaving = await startNode('node-2', store, { graceMilliseconds: 8_000 });
  await waitUntilReady(leaving);
  await addEndpoint('engine-slow', MODEL_SERVICE, streamSlowly);
  const plain = await addEndpoint('plain-1', PLAIN_SERVICE, (request, response) => {
    setTimeout(() => {
      response.writeHead(200, createSeal(request));
      response.end('booked');
    }, SLOW_MILLISECONDS);
  });
  await waitFor('the leaving node knows the endpoints', () =>
    ['engine-slow', 'plain-1'].every((id) => leaving.logs.some((line) => line.includes(id))),
  );
  const headers = { 'Token-Counts': '20,10' };
  const stream = call({ address: leaving.callers, path: '/ask/one', headers });
  const booking = call({ address: leaving.callers, path: '/book/one', method: 'POST', body: 'b' });
  await waitFor(
    'both are under way',
    () => endpoints.every(({ received }) => received.length > 0) && plain.received.length > 0,
  );
  const left = leaving.node.leave();
  assert.equal((await booking).body, 'booked');
  assert.equal((await stream).body, WHOLE_STREAM);
  await left;
});
