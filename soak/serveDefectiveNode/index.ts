/**
 * A small relay that takes the place of a node and breaks one promise, to show that the checks of a run
 * see it.
 */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import type { SoakEndpoint } from '../createSoakEndpoint/index.js';
import { listenOnLoopback } from '../../standins/listenOnLoopback/index.js';

/** What the relay does wrongly; `none` keeps all promises. */
export type Defect =
  | 'none'
  | 'swapsAnswers'
  | 'dropsEvent'
  | 'doublesEvent'
  | 'joinsEvents'
  | 'endsEarly'
  | 'runsTwice'
  | 'refusesAfterRun'
  | 'neverAnswers'
  | 'leavesLayersOut'
  | 'ignoresRest'
  | 'ignoresLeaving'
  | 'repeatsOften';

/** Options of {@link serveDefectiveNode}. */
export interface ServeDefectiveNodeOptions {
  readonly defect: Defect;
  /** Endpoints of look-ups and bookings, and the one of streams. */
  readonly plain: SoakEndpoint;
  readonly model: SoakEndpoint;
  readonly now: () => number;
}

/** A relay that listens. */
export interface DefectiveNode {
  readonly address: string;
  readonly close: () => Promise<void>;
}

interface EndpointAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const REPEATS = 4;
const BROKEN_STATUS = 502;
const EVENT_END = '\n\n';

/** Bodies as defects change them. */
const BODY_CHANGES: Readonly<Partial<Record<Defect, (body: string) => string>>> = {
  swapsAnswers: (body) => body.replace(/r(\d+)/g, 'r9$1'),
  dropsEvent: (body) => body.split(EVENT_END).toSpliced(1, 1).join(EVENT_END),
  doublesEvent: (body) => body.replace(/^(.*?\n\n)/s, '$1$1'),
  joinsEvents: (body) => body.replace(EVENT_END, '\n'),
  endsEarly: (body) => body.split(EVENT_END).slice(0, 2).join(EVENT_END) + EVENT_END,
};

function send(
  endpoint: SoakEndpoint,
  incoming: IncomingMessage,
  path: string,
): Promise<EndpointAnswer> {
  const [host, port] = endpoint.link.address.split(':');
  return new Promise((resolve) => {
    const outgoing = request(
      {
        host,
        port: Number(port),
        path: incoming.url,
        method: incoming.method,
        agent: false,
        headers: {
          'Attempt-Id': incoming.headers['attempt-id'],
          'Hop-Count': path.replace('ENDPOINT', endpoint.link.address),
        },
      },
      (answer) => {
        let body = '';
        answer.on('data', (chunk: Buffer) => (body += chunk.toString()));
        answer.on('error', () => {
          // An answer that breaks off is told by its end.
        });
        answer.on('close', () => {
          const status = answer.complete ? (answer.statusCode ?? 0) : BROKEN_STATUS;
          resolve({ status, headers: answer.headers, body });
        });
      },
    );
    outgoing.on('error', () => {
      resolve({ status: BROKEN_STATUS, headers: {}, body: '' });
    });
    outgoing.end();
  });
}

/**
 * Serves a relay on loopback.
 *
 * @param options - its defect and its endpoints
 * @returns the relay
 * @example
 * const node = await serveDefectiveNode({ defect: 'runsTwice', plain, model, now });
 */
export async function serveDefectiveNode(
  options: ServeDefectiveNodeOptions,
): Promise<DefectiveNode> {
  const { defect, plain, model, now } = options;
  const restsUntil = new Map<SoakEndpoint, number>();
  const leaving = new Set<SoakEndpoint>();
  const path = defect === 'leavesLayersOut' ? 'ENDPOINT=0-3' : 'ENDPOINT=0-4';

  const isKeptAway = (endpoint: SoakEndpoint): boolean =>
    (defect !== 'ignoresRest' && (restsUntil.get(endpoint) ?? 0) > now()) ||
    (defect !== 'ignoresLeaving' && leaving.has(endpoint));
  const learn = (endpoint: SoakEndpoint, { status, headers }: EndpointAnswer): void => {
    const rest = Number(headers['retry-after'] ?? 0) * 1_000;
    if (status === 503) restsUntil.set(endpoint, now() + rest);
    if (headers['server-leaving'] === '1') leaving.add(endpoint);
  };
  const countSends = (method: string | undefined): number => {
    if (defect === 'repeatsOften') return REPEATS;
    return defect === 'runsTwice' && method === 'POST' ? 2 : 1;
  };
  const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const isStream = incoming.url?.startsWith('/ask/') === true;
    const endpoint = isStream ? model : plain;
    if (isKeptAway(endpoint)) {
      response.writeHead(503, { 'Retry-After': '0.2' }).end();
      return;
    }
    const answers: EndpointAnswer[] = [];
    for (let sent = 0; sent < countSends(incoming.method); sent += 1) {
      answers.push(await send(endpoint, incoming, isStream ? path : ''));
    }
    const [answer] = answers;
    if (!answer || defect === 'neverAnswers') return;
    learn(endpoint, answer);
    if (defect === 'refusesAfterRun') {
      response.writeHead(503).end();
      return;
    }
    const { 'served-by': servedBy = '', 'server-leaving': says = '0' } = answer.headers;
    response.writeHead(answer.status, { 'Served-By': servedBy, 'Server-Leaving': says });
    response.end(BODY_CHANGES[defect]?.(answer.body) ?? answer.body);
  };
  const server = createServer((incoming, response) => {
    incoming.resume();
    void serve(incoming, response);
  });
  const address = await listenOnLoopback(server);
  return {
    address,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}
