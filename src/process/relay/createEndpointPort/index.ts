/**
 * Endpoints over HTTP.
 */
import type { EndpointPort, SiteProtocol } from '../../../types/relay/index.js';
import { openEndpointCall } from '../openEndpointCall/index.js';

/**
 * Creates the port to endpoints that speak HTTP.
 *
 * @param protocol - translation of headers, questions and orders
 * @returns the port
 * @example
 * createEndpointPort(createWire()).send(request, forwarding, handlers);
 */
export function createEndpointPort(protocol: SiteProtocol): EndpointPort {
  const { fetchReport, sendOrder, movePath } = protocol;
  return {
    fetchReport,
    sendOrder,
    movePath,
    send: ({ method, url, rawHeaders, body }, forwarding, { onHead, ...handlers }) =>
      openEndpointCall({
        ...handlers,
        address: forwarding.address,
        method,
        url,
        body,
        headers: protocol.buildRequestHeaders(rawHeaders, {
          ...forwarding,
          bodyBytes: body?.length,
        }),
        onResponse: (answer) => {
          const status = answer.statusCode ?? 0;
          onHead({
            status,
            metadata: protocol.parseResponseHeaders(status, answer.headers),
            headers: protocol.buildResponseHeaders(answer.rawHeaders),
          });
        },
      }),
  };
}
