/**
 * Endpoints over HTTP.
 */
import type { EndpointPort, Wire } from '../../../types/relay/index.js';
import { openEndpointCall } from '../openEndpointCall/index.js';

/**
 * Creates the port to endpoints that speak HTTP.
 *
 * @param wire - translation of headers, questions and orders
 * @returns the port
 * @example
 * createEndpointPort(createWire()).send(request, passedOn, handlers);
 */
export function createEndpointPort(wire: Wire): EndpointPort {
  const { askReport, sendOrder, movePath } = wire;
  return {
    askReport,
    sendOrder,
    movePath,
    send: ({ method, url, rawHeaders, body }, passedOn, { onHead, ...handlers }) =>
      openEndpointCall({
        ...handlers,
        address: passedOn.address,
        method,
        url,
        body,
        headers: wire.buildRequestHeaders(rawHeaders, { ...passedOn, bodyBytes: body?.length }),
        onAnswer: (answer) => {
          const status = answer.statusCode ?? 0;
          onHead({
            status,
            facts: wire.readAnswer(status, answer.headers),
            headers: wire.buildAnswerHeaders(answer.rawHeaders),
          });
        },
      }),
  };
}
