/**
 * Guards against requests that are parsed far ahead of their responses, and against requests that are lost, changed
 * or never read because reading paused.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { createRandom } from '../../createRandom/index.js';
import { limitPipelining, type RequestGate } from './index.js';

const MAXIMUM_OPEN = 3;

/** Requests without a response of one connection, and its gate. */
interface ConnectionState {
  open: number;
  readonly gate: RequestGate;
}

/** Serves with a limit on each connection; returns the port. */
async function serve(context: TestContext, handle: RequestListener): Promise<number> {
  const server = createServer();
  const gates = new Map<unknown, ConnectionState>();
  server.on('connection', (socket) => {
    const state: ConnectionState = {
      open: 0,
      gate: limitPipelining(socket, {
        isFull: () => state.open >= MAXIMUM_OPEN,
        onWait: () => undefined,
      }),
    };
    gates.set(socket, state);
  });
  server.on('request', (request, response) => {
    const state = gates.get(request.socket);
    if (!state) throw new Error('request of an unknown connection');
    state.open += 1;
    response.once('close', () => {
      state.open -= 1;
      state.gate.resume();
    });
    handle(request, response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

/** Sends bytes in parts, half-closes, and returns everything that is received. */
async function exchange(port: number, parts: readonly Buffer[]): Promise<string> {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true });
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  for (const part of parts) {
    socket.write(part);
    await new Promise((resolve) => setImmediate(resolve));
  }
  socket.write('GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
  await once(socket, 'end');
  socket.destroy();
  return received;
}

test('parses at most one request more than the limit while none is answered', async (context) => {
  let arrived = 0;
  const port = await serve(context, () => {
    arrived += 1;
  });
  const socket = connect(port, '127.0.0.1');
  context.after(() => socket.destroy());
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(5_000));
  await new Promise((resolve) => setTimeout(resolve, 200));
  assert.ok(arrived >= MAXIMUM_OPEN && arrived <= MAXIMUM_OPEN + 1, String(arrived));
});

test('serves every pipelined request once, in order', async (context) => {
  const urls: string[] = [];
  const port = await serve(context, (request, response) => {
    urls.push(request.url ?? '');
    setImmediate(() => response.end('x'.repeat(20_000)));
  });
  const sent = Array.from({ length: 300 }, (_, index) => `/${index}`);
  const text = sent.map((url) => `GET ${url} HTTP/1.1\r\nHost: a\r\n\r\n`).join('');
  await exchange(port, [Buffer.from(text)]);
  assert.deepEqual(urls, [...sent, '/last']);
});

/** A request with a body of random bytes that may look like the end of a head. */
const requests = fc.array(
  fc.record({
    chunked: fc.boolean(),
    body: fc.array(fc.constantFrom('\n\r\n', '\r\n', '0', 'a', 'GET / HTTP/1.1\r\n\r\n'), {
      maxLength: 12,
    }),
  }),
  { minLength: 1, maxLength: 12 },
);

function formatRequest({ chunked, body }: { chunked: boolean; body: readonly string[] }): string {
  const head = 'POST / HTTP/1.1\r\nHost: a\r\n';
  if (!chunked) {
    const text = body.join('');
    return `${head}Content-Length: ${text.length}\r\n\r\n${text}`;
  }
  const chunks = body.map((text) => `${text.length.toString(16)}\r\n${text}\r\n`).join('');
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

test('passes on every body unchanged, however the bytes are cut', async (context) => {
  const port = await serve(context, (request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString('latin1');
    });
    request.on('end', () => {
      setImmediate(() => response.end(`<${Buffer.from(body, 'latin1').toString('hex')}>`));
    });
  });
  await fc.assert(
    fc.asyncProperty(requests, fc.integer(), async (list, seed) => {
      const random = createRandom(seed);
      const bytes = Buffer.from(list.map(formatRequest).join(''));
      const parts: Buffer[] = [];
      for (let start = 0; start < bytes.length;) {
        const end = start + 1 + Math.floor(random() * 80);
        parts.push(bytes.subarray(start, end));
        start = end;
      }
      const received = await exchange(port, parts);
      const bodies = [...received.matchAll(/<([0-9a-f]*)>/g)].map(([, hex]) => hex);
      const expected = list.map(({ body }) => Buffer.from(body.join('')).toString('hex'));
      assert.deepEqual(bodies, [...expected, '']);
    }),
    { seed: 34, numRuns: 150 },
  );
});
