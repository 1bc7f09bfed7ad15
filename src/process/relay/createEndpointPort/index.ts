/**
 * Endpoints over HTTP.
 */
import type { EndpointPort, SiteProtocol } from '../../../types/relay/index.js';
import { openEndpointCall } from '../openEndpointCall/index.js';

/**
 * Creates the port to endpoints that speak HTTP.
 *
 * @param wire - translation of headers, questions and orders
 * @returns the port
 * @example
 * createEndpointPort(createWire()).send(request, forwarding, handlers);
 */
export function createEndpointPort(wire: SiteProtocol): EndpointPort {
  const { fetchReport: fetchReport, sendOrder, movePath } = wire;
  return {
    fetchReport: fetchReport,
    sendOrder,
    movePath,
    send: ({ method, url, rawHeaders, body }, forwarding, { onHead, ...handlers }) =>
      openEndpointCall({
        ...handlers,
        address: forwarding.address,
        method,
        url,
        body,
        headers: wire.buildRequestHeaders(rawHeaders, { ...forwarding, bodyBytes: body?.length }),
        onAnswer: (answer) => {
          const status = answer.statusCode ?? 0;
          onHead({
            status,
            metadata: wire.parseResponseHeaders(status, answer.headers),
            headers: wire.buildResponseHeaders(answer.rawHeaders),
          });
        },
      }),
  };
}
