/* eslint-disable */
/** Stand-in of the platform's store, as `PROTOCOL.md` describes it, without faults of its own. */
import http from 'node:http';

/** Starts the store; `put` and `remove` are the writes of the operator and of the engines. */
export async function startStore() {
  const items = new Map();
  const leases = new Map();
  const waiting = new Set();
  let history = [];
  let revision = 10;
  let nextLease = 1000;

  const wake = () => {
    for (const check of [...waiting]) check();
  };
  const write = (key, value, lease) => {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    history.push(item);
  };
  const erase = (key) => {
    if (!items.delete(key)) return;
    history.push({ key, revision, deleted: true });
  };
  const endLease = (id) => {
    const lease = leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    leases.delete(id);
    revision += 1;
    for (const item of [...items.values()]) if (item.lease === id) erase(item.key);
    wake();
    return true;
  };
  const startTimer = (id, milliseconds) => setTimeout(() => endLease(id), milliseconds);

  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      const [, call, id] = url.pathname.split('/');
      const text = Buffer.concat(chunks).toString();
      const body = text === '' ? {} : JSON.parse(text);
      const reply = (status, value) => {
        if (response.writableEnded || response.destroyed) return;
        const bytes = Buffer.from(JSON.stringify(value));
        response.writeHead(status, {
          'Content-Type': 'application/json',
          'Content-Length': bytes.length,
        });
        response.end(bytes);
      };
      if (call === 'kv-key') {
        const item = items.get(url.searchParams.get('key'));
        reply(item ? 200 : 404, item ? { ...item, at: revision } : {});
      } else if (call === 'kv-range') {
        const prefix = url.searchParams.get('prefix') ?? '';
        const after = url.searchParams.get('after') ?? '';
        const found = [...items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        reply(200, { items: found.slice(0, 500), truncated: found.length > 500, at: revision });
      } else if (call === 'kv-watch') {
        const prefix = url.searchParams.get('prefix') ?? '';
        const after = Number(url.searchParams.get('after'));
        const list = () =>
          history.filter((change) => change.revision > after && change.key.startsWith(prefix));
        const finish = () => {
          clearTimeout(timer);
          waiting.delete(check);
          reply(200, { events: list(), at: revision });
        };
        const check = () => {
          if (list().length > 0) finish();
        };
        const timer = setTimeout(finish, Number(url.searchParams.get('wait_ms')));
        response.on('close', () => {
          clearTimeout(timer);
          waiting.delete(check);
        });
        waiting.add(check);
        check();
      } else if (call === 'kv-txn') {
        const { expected = [], puts = [], remove = [] } = body;
        const isMet = expected.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
        if (!isMet) reply(412, { items: expected.flatMap(({ key }) => items.get(key) ?? []) });
        else if (puts.some(({ lease }) => lease && !leases.has(lease))) reply(404, {});
        else {
          revision += 1;
          for (const { key, value, lease = 0 } of puts) write(key, value, lease);
          for (const key of remove) erase(key);
          reply(200, { revision });
          wake();
        }
      } else if (call === 'kv-lease') {
        nextLease += 1;
        const milliseconds = body.ttl_ms;
        leases.set(nextLease, { milliseconds, timer: startTimer(nextLease, milliseconds) });
        reply(200, { lease: nextLease, ttl_ms: milliseconds });
      } else if (call === 'kv-keep') {
        const lease = leases.get(Number(id));
        if (lease) {
          clearTimeout(lease.timer);
          lease.timer = startTimer(Number(id), lease.milliseconds);
        }
        reply(lease ? 200 : 404, lease ? { ttl_ms: lease.milliseconds } : {});
      } else if (call === 'kv-lease-end') reply(endLease(Number(id)) ? 200 : 404, {});
      else reply(404, {});
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (key, value) => {
      revision += 1;
      write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
      wake();
    },
    remove: (key) => {
      revision += 1;
      erase(key);
      wake();
    },
    list: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    close: () => {
      for (const { timer } of leases.values()) clearTimeout(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
