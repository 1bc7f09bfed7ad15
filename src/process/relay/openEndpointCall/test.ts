import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { test } from 'node:test';
import { openEndpointCall } from './index.js';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';

/** Runs one call against a raw listener; resolves to the outcome that the callbacks report. */
async function callRaw(serve: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      serve(socket);
    });
  });
  const address = await listenOnLoopback(server);
  let text = '';
  const outcome = await new Promise<string>((resolve) => {
    openEndpointCall({
      address,
      method: 'GET',
      url: '/',
      headers: ['Host', 'desk.example'],
      body: undefined,
      onResponse: () => undefined,
      onData: (chunk) => {
        text += chunk.toString();
      },
      onEnd: () => {
        resolve(`complete ${text}`);
      },
      onFailure: (state, reason) => {
        resolve(`${state} ${reason}`);
      },
    });
  });
  server.close();
  return outcome;
}

test('accepts a response without a length that ends with its connection', async () => {
  const outcome = await callRaw((socket) => {
    socket.end(`${HEAD}\r\nbooked`);
  });
  assert.equal(outcome, 'complete booked');
});

test('fails on a response without a length whose connection is reset with its data', async () => {
  const outcome = await callRaw((socket) => {
    // Blocks the event loop, so that the data and the reset arrive in the same turn.
    socket.write(`${HEAD}\r\nboo`, () => {
      socket.resetAndDestroy();
      const until = performance.now() + 30;
      while (performance.now() < until);
    });
  });
  assert.match(outcome, /^sent /);
});

test('fails on a response that is shorter than its length', async () => {
  const outcome = await callRaw((socket) => {
    socket.end(`${HEAD}Content-Length: 10\r\n\r\nboo`);
  });
  assert.match(outcome, /^sent /);
});

test('fails on a response that switches protocols', { timeout: 5_000 }, async () => {
  const outcome = await callRaw((socket) => {
    socket.write('HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n');
  });
  assert.match(outcome, /^sent /);
});

test('fails on bytes that are not an HTTP response', async () => {
  const outcome = await callRaw((socket) => {
    socket.end('\u0000\u0001garbage\r\n\r\n');
  });
  assert.match(outcome, /^sent /);
});

test('reports that nothing was sent to a port without a listener', async () => {
  const outcome = await new Promise<string>((resolve) => {
    openEndpointCall({
      address: '127.0.0.1:1',
      method: 'GET',
      url: '/',
      headers: ['Host', 'desk.example'],
      body: undefined,
      onResponse: () => undefined,
      onData: () => undefined,
      onEnd: () => {
        resolve('complete');
      },
      onFailure: (state) => {
        resolve(state);
      },
    });
  });
  assert.equal(outcome, 'notSent');
});

const FRAMINGS: Readonly<Record<string, { readonly head: string; readonly body: string }>> = {
  'a length': { head: `${HEAD}Content-Length: 6\r\n\r\n`, body: 'booked' },
  chunks: {
    head: `${HEAD}Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n`,
    body: '3;part=1\r\nboo\r\n3\r\nked\r\n0\r\nSum: 1\r\n\r\n',
  },
  'no length': { head: `${HEAD}\r\n`, body: '' },
};
const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  closes: (socket) => {
    socket.end();
  },
  resets: (socket) => {
    socket.resetAndDestroy();
  },
};

for (const [framing, { head, body }] of Object.entries(FRAMINGS)) {
  for (const [ending, end] of Object.entries(ENDINGS)) {
    test(`fails when the endpoint ${ending} at any byte of a response with ${framing}`, async () => {
      const response = `${head}${body}`;
      const isFramed = body !== '';
      // Without a length, the end of the connection after the head is the end of the response.
      const positions = isFramed ? response.length : head.length;
      for (let position = 0; position < positions; position += 1) {
        const outcome = await callRaw((socket) => {
          if (position === 0) end(socket);
          else
            socket.write(response.slice(0, position), () => {
              end(socket);
            });
        });
        assert.match(outcome, /^sent /, JSON.stringify(response.slice(0, position)));
      }
    });
  }
}

for (const status of ['099', '000', '001', '101', '600', '999']) {
  test(`fails on a response whose final status is ${status}, which no caller can be sent`, async () => {
    const outcome = await callRaw((socket) => {
      socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nhi`);
    });
    assert.match(outcome, /^sent invalid status/);
  });
}

for (const [name, changes] of Object.entries({
  'an address with an invalid port': { address: '127.0.0.1:99999' },
  'a header whose name is no token': { headers: ['Odd name', 'value'] },
  'a path with a tab': { url: '/a\tb' },
})) {
  test(`fails as not sent, and does not throw, on ${name}`, async () => {
    const call = { address: '127.0.0.1:1', method: 'GET', url: '/', headers: [], body: undefined };
    const outcome = await new Promise<string>((resolve) => {
      openEndpointCall({
        ...call,
        ...changes,
        onResponse: () => undefined,
        onData: () => undefined,
        onEnd: resolve,
        onFailure: resolve,
      });
    });
    assert.equal(outcome, 'notSent');
  });
}
/** Guards against requests that end without a response because the runtime throws on a port or header. */
test('a call that cannot be sent fails as not sent, after it was returned', async () => {
  for (const [address, name] of [
    ['127.0.0.1:99999', 'i-1'],
    ['127.0.0.1:80', 'a\nb'],
  ] as const) {
    let hasReturned = false;
    const state = await new Promise<string>((resolve, reject) => {
      openEndpointCall({
        address,
        method: 'GET',
        url: '/',
        headers: ['Expect-Instance', name],
        body: undefined,
        onResponse: reject,
        onData: reject,
        onEnd: reject,
        onFailure: (sent) => {
          resolve(hasReturned ? sent : 'too early');
        },
      });
      hasReturned = true;
    });
    assert.equal(state, 'notSent');
  }
});
