/**
 * A complete node as a state machine: it receives events and returns effects.
 */
import { createFleet } from '../../../connection/createFleet/index.js';
import { createAttempts } from '../../../request/createAttempts/index.js';
import { createBookings, type Bookings } from '../../../request/createBookings/index.js';
import { createJournal } from '../../../request/createJournal/index.js';
import { createModelRequests } from '../../../request/createModelRequests/index.js';
import { createPools } from '../../../request/createPools/index.js';
import { createPrefixIndex } from '../../../request/createPrefixIndex/index.js';
import { createRateLimiter } from '../../../request/createRateLimiter/index.js';
import { createServiceCalls } from '../../../request/createServiceCalls/index.js';
import { createTickets } from '../../../request/createTickets/index.js';
import type { LinkCost } from '../../../request/buildChainPool/index.js';
import type { Configuration } from '../../../types/configuration/index.js';
import type { NodeEffect, NodeEvent } from '../../../types/node/index.js';
import type { Vm } from '../../../types/platform/index.js';
import {
  compileConfiguration,
  type CompiledConfiguration,
} from '../../../version/compileConfiguration/index.js';
import { createChangeAcceptor } from '../../configuration/createChangeAcceptor/index.js';
import { chooseOfferPeers } from '../../configuration/chooseOfferPeers/index.js';
import { createConfigurationStore } from '../../configuration/createConfigurationStore/index.js';
import { createLeaving } from '../../leaving/createLeaving/index.js';
import { createMembership } from '../../membership/createMembership/index.js';
import { createRegistration } from '../../membership/createRegistration/index.js';
import { createOrders } from '../../orders/createOrders/index.js';
import { createPeerRequests } from '../createPeerRequests/index.js';
import { createContext, type NodeContext } from '../createContext/index.js';
import { createOpenRequests } from '../createOpenRequests/index.js';
import { createDemandGossip } from '../createDemandGossip/index.js';
import { describeStatus } from '../describeStatus/index.js';
import type { NodeDecisions } from '../nodeDecisions/index.js';
import { createEndpointPolling } from '../createEndpointPolling/index.js';
import { createCallerRouter } from '../createCallerRouter/index.js';
import { createEventRouter } from '../createEventRouter/index.js';
import { createOperatorRouter } from '../createOperatorRouter/index.js';
import { createPeerRouter } from '../createPeerRouter/index.js';

/** Options of {@link createNode}. */
export interface CreateNodeOptions {
  readonly node: string;
  /** Name of the VM that the node runs on. */
  readonly vm: string;
  readonly availabilityZone: string;
  /** Start of the process in milliseconds since the epoch; identifies one run of the process. */
  readonly incarnation: number;
  readonly seed: number;
  /** Secret of this process; a new process has a new one. */
  readonly secret: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Addresses of peers to contact when the platform lists no live peer. */
  readonly seeds?: readonly string[];
  readonly findLink?: (fromZone: string, toZone: string) => LinkCost;
  readonly addressExpirySeconds?: number;
  readonly drainLimitMilliseconds?: number | undefined;
  readonly loadsPerSecond?: number;
  /** Replacements of decision functions, for comparisons with naive versions. */
  readonly decisions?: NodeDecisions | undefined;
}

/** A node. Time is in milliseconds since the epoch and never decreases. */
export interface Node {
  readonly receive: (event: NodeEvent, nowMilliseconds: number) => NodeEffect[];
}

const PREFIX_BLOCKS = 16_384;

const DEFAULT_LINK: LinkCost = { latencyMilliseconds: 0.5, perPromptTokenMilliseconds: 0.01 };

/**
 * Creates a node.
 *
 * The node does no I/O and reads no clock: its driver delivers events and executes the returned
 * effects. Any number of nodes can therefore run in one process under one virtual clock.
 *
 * @param options - names, addresses and limits of the node
 * @returns the node; its first event must be `{ kind: 'start' }`
 * @example
 * const effects = createNode(options).receive({ kind: 'start' }, 0);
 */
export function createNode(options: CreateNodeOptions): Node {
  const { decisions = {} } = options;
  const control = createContext(options);
  const openRequests = createOpenRequests(control.context.emit);
  const context: NodeContext = { ...control.context, emit: openRequests.emit };
  const fleet = createFleet();
  let version: CompiledConfiguration = compileConfiguration({
    revision: 0,
    objects: [],
    selectors: [],
  });
  const getVersion = (): CompiledConfiguration => version;

  const limiter = createRateLimiter();
  const prefixes = createPrefixIndex(PREFIX_BLOCKS);
  const pools = createPools({
    fleet,
    availabilityZone: options.availabilityZone,
    findLink: options.findLink ?? (() => DEFAULT_LINK),
  });
  const membership = createMembership({
    context,
    peerAddress: options.peerAddress,
    callerAddress: options.callerAddress,
    availabilityZone: options.availabilityZone,
    getRevision: () => version.revision,
    getLimits: () => pools.listBusyLimits(),
    onLimits: (limits) => {
      pools.applyPeerLimits(limits);
    },
    onFact: (fact) => {
      if (!demandGossip.receiveFact(fact)) polling.receiveFact(fact);
    },
    onHigherRevision: (peer) => {
      configuration.requestFrom(peer);
    },
    merge: decisions.mergeMember,
  });
  const checkLeaving = (vms: readonly Vm[]): void => {
    const localVm = vms.find(({ name }) => name === options.vm);
    if (localVm?.state === 'leaving' && !leaving.isLeaving()) leaving.begin('vm-list');
    const labels = version.labelsByObject.get(`vm/${options.vm}`);
    if (labels?.state === 'leaving' && !leaving.isLeaving()) leaving.begin('label');
  };
  const applyConfiguration = (applied: Configuration): void => {
    version = compileConfiguration(applied);
    fleet.applyLabels(version.labelsByObject);
    checkLeaving([]);
    membership.announce();
  };
  const configuration = createConfigurationStore({
    context,
    findMember: membership.find,
    onApplied: applyConfiguration,
    isNewer: decisions.isNewerRevision,
  });
  const polling = createEndpointPolling({
    context,
    fleet,
    listLiveNodes: membership.listLiveNodes,
    publishFact: membership.publishFact,
    onVms: checkLeaving,
    onEngineRestarted: prefixes.removeEngine,
  });
  const attempts = createAttempts({
    context,
    fleet,
    prefixes,
    countNodes: () => membership.listLiveNodes().length,
    onLeaving: polling.markLeaving,
    checkToken: decisions.checkToken,
  });
  const modelRequests = createModelRequests({ context, pools, attempts });
  const services = createServiceCalls({ context, fleet, onLeaving: polling.markLeaving });
  const tickets = createTickets({ context, services, secret: options.secret });
  const journal = createJournal(context);
  const peerRequests = createPeerRequests({
    context,
    findMember: membership.find,
    getVersion,
    getBookings: (): Bookings => bookings,
    tickets,
  });
  const bookings = createBookings({
    context,
    journal,
    services,
    requestOwnerState: peerRequests.queryOwner,
    decide: decisions.decideIntent,
  });
  const orders = createOrders({
    context,
    fleet,
    getVersion,
    listLiveNodes: membership.listLiveNodes,
    loadsPerSecond: options.loadsPerSecond ?? 2,
    pollNow: polling.pollNow,
    claimMarginMilliseconds: decisions.claimMarginMilliseconds,
  });
  const registration = createRegistration({ context, membership, seeds: options.seeds ?? [] });
  const leaving = createLeaving({
    context,
    addressExpiryMilliseconds: (options.addressExpirySeconds ?? 30) * 1_000,
    drainLimitMilliseconds: options.drainLimitMilliseconds ?? 600_000,
    countPendingWork: () =>
      modelRequests.count() + bookings.count() + journal.backlog() + services.inFlight(),
    onLeave: membership.leave,
    interruptAll: () => {
      modelRequests.interruptAll();
      openRequests.interruptAll();
    },
  });
  const acceptor = createChangeAcceptor({
    context,
    configuration,
    choosePeers: () =>
      chooseOfferPeers({
        members: membership.list(),
        self: membership.self(),
        random: context.random,
      }),
  });
  const routeOperator = createOperatorRouter({
    context,
    configuration,
    acceptor,
    fleet,
    getStatus: () =>
      describeStatus({
        membership,
        fleet,
        pools,
        orders: orders.describe(),
        journalBacklog: journal.backlog(),
        revision: version.revision,
        now: context.now(),
      }),
  });
  const routeCaller = createCallerRouter({
    context,
    getVersion,
    membership,
    limiter,
    modelRequests,
    bookings,
    services,
    journal,
    tickets,
    peerRequests,
    isLeaving: leaving.isLeaving,
    isExiting: leaving.isExiting,
    addressExpirySeconds: options.addressExpirySeconds ?? 30,
  });

  const demandGossip = createDemandGossip({
    context,
    limiter,
    publishFact: membership.publishFact,
  });
  const start = (): void => {
    registration.start();
    membership.start();
    configuration.start();
    polling.start();
    orders.start();
    demandGossip.start();
  };

  const routeEvent = createEventRouter({
    start,
    control,
    attempts,
    modelRequests,
    leaving,
    openRequests,
    routeCaller,
    routeOperator,
    routePeer: createPeerRouter({ membership, configuration, peerRequests }),
  });

  return {
    receive: (event, nowMilliseconds) => {
      control.advanceTime(nowMilliseconds);
      routeEvent(event);
      return control.drainEffects();
    },
  };
}
