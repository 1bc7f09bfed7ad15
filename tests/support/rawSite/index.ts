/**
 * Complete node on loopback whose endpoints write their responses byte by byte.
 */
import type { SiteStore } from '../../../standins/serveSiteStore/index.js';
import { serveRawEndpoint, type RawEndpoint, type RawResponder } from '../rawEndpoint/index.js';
import {
  registerEndpoint,
  startNode,
  startStore,
  waitFor,
  waitUntilReady,
  type TestNode,
} from '../siteNodes/index.js';

/** Running node with its store and its endpoints. */
export interface RawSite {
  readonly node: TestNode;
  readonly store: SiteStore;
  /** Replaces the endpoints by new ones of a service, and waits until the node knows them. */
  readonly replaceEndpoints: (
    service: string,
    respond: RawResponder,
    count?: number,
  ) => Promise<void>;
  /** Returns the number of requests that the present endpoints received. */
  readonly countReceived: () => number;
  readonly close: () => Promise<void>;
}

const DEFAULT_ENDPOINT_COUNT = 2;

/** Starts a node without endpoints that follows a configuration. */
export async function startRawSite(configuration: object): Promise<RawSite> {
  const store = await startStore();
  store.put('op/config', configuration);
  const node = await startNode('node-1', store);
  await waitUntilReady(node);
  let endpoints: RawEndpoint[] = [];
  const closeEndpoints = async (): Promise<void> => {
    for (const { id } of endpoints) store.remove(`servers/${id}`);
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  };
  return {
    node,
    store,
    countReceived: () => endpoints.reduce((sum, { received }) => sum + received.length, 0),
    replaceEndpoints: async (service, respond, count = DEFAULT_ENDPOINT_COUNT) => {
      await closeEndpoints();
      const suffix = performance.now().toFixed(0);
      endpoints = await Promise.all(
        Array.from({ length: count }, (_, index) =>
          serveRawEndpoint(`endpoint-${index + 1}-${suffix}`, respond),
        ),
      );
      for (const endpoint of endpoints)
        registerEndpoint(store, endpoint, service, { layers: endpoint.layers });
      await waitFor('the node has the endpoints in its table', () =>
        endpoints.every(({ id }) => node.logs.some((line) => line.includes(`"${id}"`))),
      );
    },
    close: async () => {
      await node.node.leave();
      await closeEndpoints();
      await store.close();
    },
  };
}
