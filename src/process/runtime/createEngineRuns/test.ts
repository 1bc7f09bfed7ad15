import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import { createEngineRuns, type EngineRuns, type RunEvent } from './index.js';

/** Writes the response to the given request on its connection; both are counted from 1. */
type Responder = (socket: Socket, request: number, connection: number) => void;

let respond: Responder;
let server: Server;
let address: string;
let runs: EngineRuns;
let onEvent: (event: RunEvent) => void;

/** Starts a run; resolves to its events when it has ended. */
function run(attempt: string): Promise<RunEvent[]> {
  const events: RunEvent[] = [];
  return new Promise((resolve) => {
    onEvent = (event) => {
      events.push(event);
      if (event.kind !== 'tokens') resolve(events);
    };
    runs.start(address, {
      attempt,
      route: [{ engine: 'engine-1', address, from: 0, to: 4 }],
      model: 'm',
      version: '1',
      adapter: '',
      prompt: 'p',
      startIndex: 0,
      maximumTokens: 1,
      priority: 0,
    });
  });
}

beforeEach(async () => {
  let connections = 0;
  let requests = 0;
  server = createServer((socket) => {
    connections += 1;
    const connection = connections;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      respond(socket, requests, connection);
    });
  });
  address = await listenOnLoopback(server);
  runs = createEngineRuns((event) => {
    onEvent(event);
  });
});

afterEach(() => {
  runs.close();
  server.close();
});

test('a run fails on a response that switches protocols', { timeout: 5_000 }, async () => {
  respond = (socket) => {
    socket.write('HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n');
  };
  const failure = { kind: 'runFailed', attempt: 'a', sent: true, engine: 'engine-1' };
  assert.deepEqual(await run('a'), [{ ...failure, leaving: false }]);
});

const TOKEN = `${JSON.stringify({ index: 0, trace: '', text: 'x', last: true })}\n`;
const RESPONSE = `HTTP/1.1 200 OK\r\nContent-Length: ${TOKEN.length}\r\n\r\n${TOKEN}`;
const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nX-Refused: layers\r\nContent-Length: 2\r\n\r\n{}';

for (const [when, delayMilliseconds] of Object.entries({ 'at once': 0, late: 30 })) {
  test(`an additional refusal that follows a response ${when} never ends the next run`, async () => {
    const connections: number[] = [];
    respond = (socket, request, connection) => {
      connections.push(connection);
      if (request > 1) {
        // The additional refusal comes first on a connection that is used again.
        setTimeout(() => socket.write(RESPONSE), 2 * delayMilliseconds + 30);
        return;
      }
      socket.write(RESPONSE);
      setTimeout(() => socket.write(REFUSAL), delayMilliseconds);
    };
    await run('first');
    const events = await run('second');
    assert.deepEqual(
      events.map(({ kind }) => kind),
      ['tokens', 'runEnded'],
      JSON.stringify(events),
    );
    assert.equal(new Set(connections).size, 2);
  });
}

test('only a response that states a refusal counts as not run', async () => {
  respond = (socket, request) => {
    const refused = request === 1 ? 'X-Refused: leaving\r\n' : '';
    socket.end(`HTTP/1.1 503 Service Unavailable\r\n${refused}Content-Length: 0\r\n\r\n`);
  };
  const failure = { kind: 'runFailed', engine: 'engine-1' };
  assert.deepEqual(await run('a'), [{ ...failure, attempt: 'a', sent: false, leaving: true }]);
  assert.deepEqual(await run('b'), [{ ...failure, attempt: 'b', sent: true, leaving: false }]);
});

test('a run fails when the engine closes at any byte before the end of its response', async () => {
  const chunk = `${TOKEN.length.toString(16)}\r\n${TOKEN}\r\n0\r\n\r\n`;
  const response = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}`;
  for (let position = 1; position < response.length; position += 1) {
    respond = (socket) => {
      socket.end(response.slice(0, position));
    };
    const last = (await run(`cut at ${position}`)).at(-1);
    assert.equal(last?.kind, 'runFailed');
    assert.ok(last.sent);
  }
});

/** Resolves to the events of a run whose engine sends a start, and a piece until the connection is closed. */
async function runWithoutEnd(start: string, piece: string) {
  let recordClose = (): void => undefined;
  const closed = new Promise<void>((resolve) => (recordClose = resolve));
  respond = (socket) => {
    const write = (): void => {
      while (!socket.destroyed) if (!socket.write(piece)) break;
    };
    socket.on('drain', write);
    socket.on('close', recordClose);
    socket.write(start);
    write();
  };
  const events = await run('attempt-1');
  await closed;
  return events.map(({ kind }) => kind);
}

/** Guards against a node that keeps the bytes of an engine without an end, or reads them without an end. */
test('a run whose engine sends a line without an end fails, and its connection is closed', async () => {
  const head = 'HTTP/1.1 200 OK\r\n\r\n';
  assert.deepEqual(await runWithoutEnd(head, 'x'.repeat(16_384)), ['runFailed']);
});

test('the connection of a refusal without an end is closed', async () => {
  const head = 'HTTP/1.1 503 Full\r\nX-Refused: full\r\n\r\n';
  assert.deepEqual(await runWithoutEnd(head, 'x'.repeat(16_384)), ['runFailed']);
});
