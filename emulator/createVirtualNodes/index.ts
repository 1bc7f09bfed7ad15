/**
 * Complete router nodes under virtual time.
 */
import { z } from 'zod';
import {
  createSiteNode,
  type CreateSiteNodeOptions,
  type SiteCore,
} from '../../src/process/site/createSiteNode/index.js';
import type { LeavingPeriod } from '../../src/process/relay/admitRequest/index.js';
import type { PeerPort } from '../../src/process/site/createPeerExchange/index.js';
import type { SiteDecisions } from '../../src/process/site/siteDecisions/index.js';
import type { LogEventName } from '../../src/process/site/logEvents/index.js';
import type { RequestMetadata } from '../../src/types/relay/index.js';
import type { EndpointRecord, NodeRecord, SiteConfiguration } from '../../src/types/site/index.js';
import {
  createEndpointPort,
  type CreateEndpointPortOptions,
  type LinkCut,
  type PortCounts,
} from '../createEndpointPort/index.js';
import { createNeighbourPort } from '../createNeighbourPort/index.js';
import type { VirtualStore } from '../createVirtualStore/index.js';
import type { VirtualTime } from '../createVirtualTime/index.js';
import type { VirtualSite } from '../readScenario/index.js';

/** Time after which a leaving node has stopped, in milliseconds. */
export const NODE_LEAVE_MILLISECONDS = 3_300;

/** A line of a node's log. */
export interface VirtualLogLine {
  readonly at: number;
  readonly node: string;
  readonly event: LogEventName;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A node that can be killed and restarted. */
export interface VirtualNode {
  readonly name: string;
  readonly availabilityZone: string;
  /** Returns the running process, or undefined while the node is down. */
  readonly getCore: () => SiteCore | undefined;
  readonly isLeaving: () => boolean;
  readonly start: () => void;
  readonly kill: () => void;
  /** Announces the node's shutdown. */
  readonly leave: () => void;
  /** Cuts the node's links to all endpoints; undefined ends the cut. */
  readonly setCut: (cut: LinkCut | undefined) => void;
  /** Calls an action when the current process ends; returns a function that removes the action. */
  readonly onEnd: (action: () => void) => () => void;
}

/** Emulated nodes of a site. */
export interface VirtualNodes {
  readonly nodes: readonly VirtualNode[];
  readonly lines: VirtualLogLine[];
  /** Returns the numbers of calls to endpoints, summed over all processes. */
  readonly countCalls: () => PortCounts;
  /**
   * Returns how many running nodes do not have a version of the configuration, plus how often a process went back to
   * an older one.
   */
  readonly countConfigurationErrors: (version: number) => number;
  /** Returns the size of all messages between nodes, in bytes. */
  readonly countPeerBytes: () => number;
}

/** Options of {@link createVirtualNodes}. */
export interface CreateVirtualNodesOptions extends Pick<
  CreateEndpointPortOptions,
  'time' | 'engines' | 'plain' | 'limits' | 'findRequest' | 'streamEnd'
> {
  /** Returns what a caller sent with an attempt. */
  readonly findMetadata: (attempt: string) => RequestMetadata;
  /** Whether nodes may hand requests over to each other. */
  readonly hasNeighbours: boolean;
  readonly site: VirtualSite;
  readonly time: VirtualTime;
  readonly store: VirtualStore;
  readonly decisions: SiteDecisions;
  readonly retries: CreateSiteNodeOptions['retries'];
}

/** Keys in the emulated store. */
export const STORE_KEYS = { configuration: 'configuration', endpointPrefix: 'endpoints/' };

/** One-way delay of a message between nodes. */
const PEER_MILLISECONDS = 0.5;
const PEER_TIMEOUT_MILLISECONDS = 600;
const objectSchema = z.looseObject({});
// Not validated: the emulated store contains only values that the emulator wrote from these types.
const configurationSchema = objectSchema as unknown as z.ZodType<SiteConfiguration>;
const recordSchema = objectSchema as unknown as z.ZodType<EndpointRecord>;

/**
 * Creates the nodes of a site, not started.
 *
 * @param options - site, virtual time, store, fleets and decisions
 * @returns the nodes
 * @example
 * createVirtualNodes(options).nodes[0]?.start();
 */
export function createVirtualNodes(options: CreateVirtualNodesOptions): VirtualNodes {
  const { site, time, store } = options;
  const byAddress = new Map<string, VirtualNode>();
  /** One node of each availability zone, as the platform lists them for new nodes. */
  const seeds = site.nodes.flatMap((count, zone) => (count > 0 ? [`peer:node-${zone}-0`] : []));
  const lines: VirtualLogLine[] = [];
  const allCounts: PortCounts[] = [];
  /** Version that each running process has applied. */
  const versions = new Map<SiteCore, number>();
  let rollbacks = 0;
  let peerBytes = 0;

  const findCore = (address: string): SiteCore | undefined => byAddress.get(address)?.getCore();
  const createPort = (from: string): PeerPort => ({
    send: (address, message) => {
      peerBytes += message.length;
      time.schedule(PEER_MILLISECONDS, () => findCore(address)?.exchange.receive(message, from));
    },
    sendRequest: async (address, request) => {
      const text = JSON.stringify(request);
      peerBytes += text.length;
      await time.delay(PEER_MILLISECONDS, undefined);
      const core = findCore(address);
      if (!core) return time.delay(PEER_TIMEOUT_MILLISECONDS, undefined);
      const reply = JSON.stringify(core.exchange.handleRequest(JSON.parse(text)));
      peerBytes += reply.length;
      return time.delay(PEER_MILLISECONDS, JSON.parse(reply) as unknown);
    },
  });
  const createVirtualNode = (name: string, availabilityZone: string): VirtualNode => {
    let core: SiteCore | undefined;
    let leaving: LeavingPeriod | undefined;
    let cut: LinkCut | undefined;
    let resetCalls = (): void => undefined;
    const endActions = new Set<() => void>();
    const runLoop = (owner: SiteCore, step: () => Promise<number>): void => {
      if (core !== owner) return;
      void step().then((pause) => {
        time.schedule(pause, () => {
          runLoop(owner, step);
        });
      });
    };
    const start = (): void => {
      const self: NodeRecord = {
        name,
        availabilityZone,
        callerAddress: name,
        peerAddress: `peer:${name}`,
        incarnation: Math.floor(time.now()) + 1,
        isLeaving: false,
      };
      leaving = undefined;
      const { port, counts, closeAll, resetAll } = createEndpointPort({
        ...options,
        availabilityZone,
        zoneMilliseconds: site.zoneMilliseconds,
        isAlive: () => core === created,
        getCut: () => cut,
      });
      allCounts.push(counts);
      endActions.add(closeAll);
      resetCalls = resetAll;
      const created: SiteCore = createSiteNode({
        self,
        seeds: seeds.filter((address) => address !== `peer:${name}`),
        clock: {
          now: time.now,
          schedule: (milliseconds, action) =>
            time.schedule(milliseconds, () => {
              if (core === created) action();
            }),
          scheduleAfterReads: (milliseconds, action) =>
            time.scheduleAfterReads(milliseconds, () => {
              if (core === created) action();
            }),
        },
        store: store.connect(name),
        endpointPort: port,
        neighbourPort: createNeighbourPort({
          time,
          findCore: options.hasNeighbours ? findCore : () => undefined,
          findMetadata: options.findMetadata,
        }),
        peerPort: createPort(`peer:${name}`),
        logger: {
          log: (event, fields) => {
            lines.push({ at: time.now(), node: name, event, fields });
          },
          logRequestEvents: (events) => {
            for (const { event, fields, at = time.now() } of events)
              lines.push({ at, node: name, event, fields });
          },
          countDroppedLines: () => 0,
        },
        decoders: {
          decodeConfiguration: (value) => configurationSchema.safeParse(value).data,
          decodeEndpoint: (_, value) => recordSchema.safeParse(value).data,
        },
        keys: STORE_KEYS,
        retries: options.retries,
        decisions: options.decisions,
        onConfiguration: ({ configuration: { version } }) => {
          if (version < (versions.get(created) ?? version)) rollbacks += 1;
          versions.set(created, version);
        },
        getLeaving: () => leaving,
      });
      core = created;
      for (const step of Object.values(created.loops)) runLoop(created, step);
    };
    return {
      name,
      availabilityZone,
      getCore: () => core,
      isLeaving: () => leaving !== undefined,
      start,
      kill: () => {
        if (core) versions.delete(core);
        core = undefined;
        for (const end of [...endActions]) end();
        endActions.clear();
      },
      leave: () => {
        const startedAt = time.now();
        leaving = { startedAt, endsAt: startedAt + NODE_LEAVE_MILLISECONDS };
        core?.exchange.peers.setLeaving();
      },
      setCut: (kind) => {
        cut = kind;
        if (kind === 'reset') resetCalls();
      },
      onEnd: (action) => {
        endActions.add(action);
        return () => endActions.delete(action);
      },
    };
  };

  const nodes = site.nodes.flatMap((count, zone) =>
    Array.from({ length: count }, (_, index) =>
      createVirtualNode(`node-${zone}-${index}`, site.availabilityZones[zone] ?? ''),
    ),
  );
  for (const node of nodes) byAddress.set(`peer:${node.name}`, node);
  return {
    nodes,
    lines,
    countPeerBytes: () => peerBytes,
    countConfigurationErrors: (version) =>
      nodes.filter((node) => {
        const core = node.getCore();
        return core && versions.get(core) !== version;
      }).length + rollbacks,
    countCalls: () =>
      allCounts.reduce(
        (sum, { reports, orders, moves }) => ({
          reports: sum.reports + reports,
          orders: sum.orders + orders,
          moves: sum.moves + moves,
        }),
        { reports: 0, orders: 0, moves: 0 },
      ),
  };
}
