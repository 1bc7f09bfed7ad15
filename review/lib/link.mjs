/* eslint-disable */
/**
 * Link to one engine: a proxy that forwards bytes and, while the link is cut, holds them back in both directions and
 * accepts no connection. After the cut the bytes and the end of a connection arrive, as the operating system sends them
 * again; an engine that isn't there is not reached.
 */
import net from 'node:net';

export async function startLink() {
  let target = 0;
  let port = 0;
  let isCut = false;
  let listener;
  const held = [];
  const pass = (action) => (isCut ? held.push(action) : action());

  const connect = (near) => {
    const far = net.connect({ host: '127.0.0.1', port: target, allowHalfOpen: true });
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.on('data', (bytes) => pass(() => to.write(bytes)));
      from.on('end', () => pass(() => to.end()));
      from.on('error', () => pass(() => to.resetAndDestroy()));
    }
    near.on('close', () => pass(() => far.destroy()));
  };
  const listen = () =>
    new Promise((resolve) => {
      listener = net.createServer({ allowHalfOpen: true }, connect);
      listener.listen(port, '127.0.0.1', () => {
        ({ port } = listener.address());
        resolve();
      });
    });
  await listen();
  return {
    address: `127.0.0.1:${port}`,
    /** Names the port at which the engine listens behind the link. */
    setTarget: (targetPort) => {
      target = targetPort;
    },
    cut: () => {
      isCut = true;
      listener.close();
    },
    /** Ends the cut; new connections are accepted if an engine is there. */
    heal: async (isEngineThere) => {
      if (isEngineThere) await listen();
      isCut = false;
      for (const action of held.splice(0)) action();
    },
    close: () => listener.close(),
  };
}
