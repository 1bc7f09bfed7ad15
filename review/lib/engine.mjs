/* eslint-disable */
/**
 * Stand-in of an engine, as a process of its own. It serves plain requests and streams, `GET /report` and
 * `POST /order`, and tells its parent each run that it begins and each answer that it has made.
 *
 * Its answers have neither a length nor chunks and end with their connection where the settings say `unframed`.
 */
import http from 'node:http';

const settings = JSON.parse(process.argv[2]);
const { id, host, pieces, gapMilliseconds, framed, layers } = settings;
const say = (message) => process.send?.({ id, ...message });

let { born } = settings;
let held = layers;
let orders = layers ? 1 : 0;
let active = 0;

function report() {
  return {
    stage: 'both',
    models: [{ name: 'm0', version: 1, adapters: [] }],
    layers: held && { ...held, version: 1 },
    route_type: settings.type,
    busy: false,
    sequence: orders,
    queued: 0,
    active,
    kv_used: 0,
    kv_total: 1_000_000,
    kv_handles: 0,
    pace: 1,
    stalled: [],
    born,
  };
}

/** The pieces of the answer to a request, which are the same in each run. */
function listPieces(attempt, kind) {
  return Array.from({ length: pieces }, (_, index) =>
    kind === 'stream'
      ? `id: ${index + 1}\ndata: piece ${index + 1} of ${pieces} for ${attempt}\n\n`
      : `piece ${index + 1} of ${pieces} for ${attempt}\n`,
  );
}

const server = http.createServer((request, response) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => {
    const json = (status, value) => {
      const bytes = Buffer.from(JSON.stringify(value));
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': bytes.length,
      });
      response.end(bytes);
    };
    if (request.url === '/report') return json(200, report());
    if (request.url === '/healthz') {
      response.setHeader('Instance-Id', id);
      return json(200, {});
    }
    if (request.url === '/order') {
      const order = JSON.parse(Buffer.concat(chunks).toString());
      if (order.op === 'repath') return json(404, {});
      if (order.expected !== undefined && order.expected !== orders) return json(409, {});
      if (held && held.from === order.from && held.to === order.to) return json(200, {});
      held = { from: order.from, to: order.to };
      orders += 1;
      say({ kind: 'order', from: order.from, to: order.to });
      return json(202, {});
    }
    const attempt = request.headers['attempt-id'];
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Instance-Id': id, 'Content-Length': 0 });
      return response.end();
    }
    const isStream = request.headers['token-counts'] !== undefined;
    const after = Number(request.headers['last-event-id'] ?? 0);
    const all = listPieces(attempt, isStream ? 'stream' : 'plain').slice(isStream ? after : 0);
    active += 1;
    say({ kind: 'run', attempt, method: request.method, path: request.url, after });
    const head = {
      'Attempt-Id': attempt,
      'Server-Seal': `${id}.${attempt}`,
      'Content-Type': isStream ? 'text/event-stream' : 'text/plain',
      'Server-Load': `${active},0,8`,
    };
    const { socket } = response;
    // Without chunks and without a length, the end of the connection is the end of the answer.
    if (framed) response.writeHead(200, head);
    else {
      const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`);
      socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${lines.join('')}\r\n`);
    }
    const write = (text) => (framed ? response.write(text) : socket.write(text));
    let sent = 0;
    const step = () => {
      if (socket.destroyed) {
        active -= 1;
        return say({ kind: 'left', attempt, sent: after + sent });
      }
      if (sent < all.length) {
        write(all[sent]);
        sent += 1;
        say({ kind: 'piece', attempt, sent: after + sent });
        return setTimeout(step, gapMilliseconds);
      }
      active -= 1;
      if (framed) response.end();
      else socket.end();
      return say({ kind: 'made', attempt, sent: after + sent });
    };
    step();
  });
});
server.keepAliveTimeout = 5_000;
const listen = () =>
  server.listen(settings.port ?? 0, host, () =>
    say({ kind: 'listening', address: `${host}:${server.address().port}` }),
  );
if (settings.waits)
  process.once('message', (message) => {
    ({ born } = message);
    listen();
  });
else listen();
process.on('disconnect', () => process.exit(0));
