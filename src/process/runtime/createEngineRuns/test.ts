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
