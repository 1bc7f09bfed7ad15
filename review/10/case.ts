/**
 * One client that the deployment does not control opens idle connections to a machine, as many as that takes.
 */
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendBooking } from '../lib-2/client.js';
import { runCase, type CaseContext } from '../lib-2/runCase.js';
import { isReady, type SiteNode } from '../lib-2/site.js';

/** Ordinary caller's try at a new connection. */
interface Try {
  readonly caller: number;
  readonly at: number;
  readonly isTaken: boolean;
}

/** Connections of the foreign client; fewer than half of the sockets of a machine. */
const FOREIGN_CONNECTIONS = 1_900;
const CONNECTIONS_PER_PAUSE = 20;
const PAUSE_MILLISECONDS = 10;
/** Time after which the foreign client replaces a connection that was closed. */
const REPLACE_MILLISECONDS = 500;
const CALLERS = 10;
const CALLER_PAUSE_MILLISECONDS = 300;
const CONTACT_MILLISECONDS = 3_000;
const MINIMUM_CALLERS = 7;
const OBSERVED_MILLISECONDS = 20_000;
const WINDOW_STEP_MILLISECONDS = 250;

const tries: Try[] = [];
const end = new AbortController();
const isOver = (): boolean => end.signal.aborted;

/** Books over a new connection again and again. */
async function book(node: SiteNode, caller: number, note: CaseContext['note']): Promise<void> {
  await sleep((caller * CALLER_PAUSE_MILLISECONDS) / CALLERS);
  for (let index = 0; !isOver(); index += 1) {
    const at = Date.now();
    const attempt = `caller-${caller}-${index}`;
    const address = { ...node.front, localAddress: `127.0.4.${caller + 1}` };
    const { status, reason } = await sendBooking(address, { attempt });
    note(`${attempt} gets ${reason ?? status}`);
    tries.push({ caller, at, isTaken: status !== 0 });
    await sleep(CALLER_PAUSE_MILLISECONDS);
  }
}

/** Keeps a connection open on which nothing is sent. */
function holdConnection(node: SiteNode, sockets: Set<Socket>): void {
  const socket = connect({ ...node.front, localAddress: '127.0.3.1' });
  sockets.add(socket);
  socket.on('error', () => undefined);
  socket.resume();
  socket.on('close', () => {
    sockets.delete(socket);
    if (isOver()) return;
    setTimeout(() => {
      if (!isOver()) holdConnection(node, sockets);
    }, REPLACE_MILLISECONDS);
  });
}

/** Returns whether no try of enough callers was taken in a span that begins at a time. */
function isClosedFrom(from: number): boolean {
  const within = tries.filter(({ at }) => at >= from && at < from + CONTACT_MILLISECONDS);
  const callers = new Set(within.map(({ caller }) => caller));
  return callers.size >= MINIMUM_CALLERS && within.every(({ isTaken }) => !isTaken);
}

await runCase({
  folder: import.meta.dirname,
  onRun: () => false,
  play: async ({ site, note, hasTrouble }) => {
    const [target] = site.nodes;
    if (!target) throw new Error('no machine');
    const callers = Array.from({ length: CALLERS }, (_, caller) => book(target, caller, note));
    await sleep(CONTACT_MILLISECONDS);
    const sockets = new Set<Socket>();
    for (let index = 0; hasTrouble && index < FOREIGN_CONNECTIONS; index += 1) {
      holdConnection(target, sockets);
      if (index % CONNECTIONS_PER_PAUSE === 0) await sleep(PAUSE_MILLISECONDS);
    }
    const heldAt = Date.now();
    note(`a foreign client holds or tries ${sockets.size} connections to ${target.name}`);
    let notReady = 0;
    while (Date.now() < heldAt + OBSERVED_MILLISECONDS) {
      if (!(await isReady(target))) notReady += 1;
      await sleep(1_000);
    }
    end.abort();
    await Promise.all(callers);
    for (const socket of sockets) socket.destroy();
    const spans = Array.from(
      { length: (OBSERVED_MILLISECONDS - CONTACT_MILLISECONDS) / WINDOW_STEP_MILLISECONDS },
      (_, index) => heldAt + index * WINDOW_STEP_MILLISECONDS,
    );
    const closed = spans.filter(isClosedFrom).length;
    const taken = tries.filter(({ at, isTaken }) => at >= heldAt && isTaken).length;
    const tried = tries.filter(({ at }) => at >= heldAt).length;
    note(`${target.name} was not ready at ${notReady} of ${OBSERVED_MILLISECONDS / 1_000} checks`);
    return {
      isBroken: closed > 0 && notReady === 0,
      text: `${taken} of ${tried} new connections were taken; none in ${closed} of ${spans.length} spans of ${CONTACT_MILLISECONDS} ms`,
    };
  },
});
