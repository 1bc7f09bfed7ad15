/**
 * Port to endpoints over HTTP.
 */
import type { EndpointPort, SiteProtocol } from '../../../types/relay/index.js';
import { checkListening } from '../checkListening/index.js';
import { openEndpointCall } from '../openEndpointCall/index.js';
import { openLivenessCheck } from '../openLivenessCheck/index.js';

/**
 * Creates the port to endpoints over HTTP.
 *
 * @param protocol - the protocol that translates headers and sends control calls
 * @returns the port
 * @example
 * createEndpointPort(createSiteProtocol()).send(request, forwarding, handlers);
 */
export function createEndpointPort(protocol: SiteProtocol): EndpointPort {
  const { fetchReport, sendOrder, movePath, requestInstance } = protocol;
  return {
    fetchReport,
    sendOrder,
    movePath,
    isListening: checkListening,
    send: ({ method, url, rawHeaders, body }, forwarding, { onHead, ...handlers }) =>
      openEndpointCall({
        ...handlers,
        address: forwarding.address,
        method,
        url,
        body,
        openLivenessCheck:
          forwarding.healthPath === undefined
            ? undefined
            : () => openLivenessCheck({ address: forwarding.address, requestInstance }),
        headers: protocol.buildRequestHeaders(rawHeaders, {
          ...forwarding,
          bodyBytes: body?.length,
        }),
        onResponse: (incoming) => {
          const status = incoming.statusCode ?? 0;
          onHead({
            status,
            metadata: protocol.parseResponseHeaders(status, incoming.headers),
            headers: protocol.buildResponseHeaders(incoming.rawHeaders),
          });
        },
      }),
  };
}
