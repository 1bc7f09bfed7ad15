/**
 * Listeners of a node for peers, operators and callers.
 */
import type http from 'node:http';
import type { ConnectionLimits } from '../../../connection/deriveCallerLimits/index.js';
import { formatError } from '../../../request/createErrorResponse/index.js';
import { equalsInConstantTime, readBearerKey } from '../../../request/authorizeCaller/index.js';
import type { Histograms } from '../../createHistograms/index.js';
import type { LifeCycle } from '../../createLifeCycle/index.js';
import type { LoadedSettings } from '../../settings/readSettings/index.js';
import type { Driver } from '../createDriver/index.js';
import type { GuardEvent } from '../guardConnections/index.js';
import { listenHttp } from '../listenHttp/index.js';
import type { Responder } from '../createResponder/index.js';
import { servePeers } from '../servePeers/index.js';

/** Options of {@link openListeners}. */
export interface OpenListenersOptions {
  readonly options: Pick<LoadedSettings, 'settings' | 'secrets'>;
  readonly lifeCycle: LifeCycle;
  readonly callers: Responder;
  readonly operators: Responder;
  readonly histograms: Histograms;
  readonly offer: Driver['offer'];
  /** Limits of the callers' connections. */
  readonly limits: ConnectionLimits;
  /** Called when a connection of a caller is closed, or its request refused, because of {@link limits}. */
  readonly onLimit: (event: GuardEvent) => void;
}

/** Bound ports of the listeners. */
export interface ListenerPorts {
  readonly callers: number;
  readonly operators: number;
  readonly peers: number;
}

const OPERATOR_REQUEST_TIMEOUT_MILLISECONDS = 10_000;

function createOperatorHandler(
  key: string,
  histograms: Histograms,
  responder: Responder,
): (request: http.IncomingMessage, response: http.ServerResponse) => void {
  const readReport = (path: string | undefined): [string, string] | undefined => {
    if (path === '/metrics') return ['text/plain; version=0.0.4', histograms.formatPrometheus()];
    if (path !== '/v1/histograms') return undefined;
    return ['application/json', JSON.stringify(histograms.summarize())];
  };
  return (request, response) => {
    const presented = readBearerKey(request.headers.authorization);
    if (presented === undefined || !equalsInConstantTime(presented, key)) {
      response.writeHead(401, { 'content-type': 'application/json', connection: 'close' });
      response.end(formatError('unauthorized'));
      return;
    }
    const report = request.method === 'GET' ? readReport(request.url) : undefined;
    if (!report) {
      responder.handleRequest(request, response);
      return;
    }
    response.writeHead(200, { 'content-type': report[0] });
    response.end(report[1]);
  };
}

/**
 * Opens the listeners of a node; closes the life cycle when one of them cannot be opened.
 *
 * @param parts - settings, and the receivers of requests and messages
 * @returns the ports; rejects with `ListenError` when an address is in use
 * @example
 * const { callers } = await openListeners(parts);
 */
export async function openListeners(parts: OpenListenersOptions): Promise<ListenerPorts> {
  const { settings, secrets } = parts.options;
  const { lifeCycle, offer } = parts;
  try {
    const peers = await servePeers({
      listener: settings.peers,
      key: secrets.peerKey,
      lifeCycle,
      feed: (message) => offer({ kind: 'peerMessage', message }),
    });
    const handleOperatorRequest = createOperatorHandler(
      secrets.operatorKey,
      parts.histograms,
      parts.operators,
    );
    const operators = await listenHttp({
      name: 'operators',
      listener: settings.operators,
      lifeCycle,
      requestTimeoutMilliseconds: OPERATOR_REQUEST_TIMEOUT_MILLISECONDS,
      onRequest: handleOperatorRequest,
    });
    const callers = await listenHttp({
      name: 'callers',
      listener: settings.callers,
      lifeCycle,
      requestTimeoutMilliseconds: settings.callers.bodyTimeoutMilliseconds,
      limits: parts.limits,
      onLimit: parts.onLimit,
      onRequest: (request, response, guard) => {
        if (request.url === '/metrics') handleOperatorRequest(request, response);
        else parts.callers.handleRequest(request, response, guard);
      },
    });
    return { callers, operators, peers };
  } catch (error) {
    await lifeCycle.close();
    throw error;
  }
}
