import assert from 'node:assert/strict';
import { createServer, Agent, get } from 'node:http';
import { test } from 'node:test';
import { listenOnLoopback } from '../../../../standins/listenOnLoopback/index.js';
import { closeIdleConnections } from './index.js';

test('closes the idle connections, and leaves a call in progress alone', async () => {
  let finish = (): void => undefined;
  const server = createServer((request, response) => {
    if (request.url === '/') response.end();
    else finish = () => response.end('late');
  });
  const address = await listenOnLoopback(server);
  const agent = new Agent({ keepAlive: true });
  const call = (path: string): Promise<string> =>
    new Promise((resolve, reject) => {
      get(`http://${address}${path}`, { agent }, (response) => {
        let body = '';
        response.on('data', (chunk: Buffer) => (body += chunk.toString()));
        response.on('end', () => {
          setImmediate(resolve, body);
        });
      }).on('error', reject);
    });
  await call('/');
  const late = Promise.all([call('/late'), call('/')]);
  await call('/');
  const idle = Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? []);
  assert.ok(idle.length > 0);
  closeIdleConnections(agent);
  assert.ok(idle.every(({ destroyed }) => destroyed));
  finish();
  const [body] = await late;
  agent.destroy();
  server.close();
  assert.equal(body, 'late');
});
