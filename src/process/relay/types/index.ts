/**
 * Types that the modules of the relay share.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { ZoneLinkMonitor } from '../../../request/createZoneLinkMonitor/index.js';
import type { ServiceRetryBudget } from '../../../request/createServiceRetryBudget/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type {
  RequestMetadata,
  CallerResponse,
  EndpointPort,
  ForwardedRequest,
} from '../../../types/relay/index.js';
import type { SiteRoute, SiteService } from '../../../types/site/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { BodyMemoryLimit } from '../createBodyMemoryLimit/index.js';
import type { CrashRecorder } from '../createCrashRecorder/index.js';
import type { EndpointProber } from '../createEndpointProber/index.js';
import type { LinkMonitor } from '../createLinkMonitor/index.js';
import type { AdmissionExchange } from '../../site/createAdmissionExchange/index.js';
import type { Permits } from '../../site/createPermits/index.js';
import type { RateLimits } from '../../site/createRateLimits/index.js';
import type { SiteDecisions } from '../../site/siteDecisions/index.js';
import type { StopSignal } from '../createStopSignal/index.js';
import type { PartGuard } from '../createPartGuard/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';
import type { Neighbours } from '../createNeighbours/index.js';
import type { WaitingRooms } from '../createWaitingRooms/index.js';
import type { RequestLog } from '../createRequestLog/index.js';

/** Dependencies of the process that a relayed request uses. */
export interface RelayContext {
  readonly availabilityZone: string;
  readonly endpoints: EndpointTable;
  readonly endpointPort: EndpointPort;
  readonly budget: ServiceRetryBudget;
  readonly logger: SiteLogger;
  readonly metrics: RelayMetrics;
  readonly clock: Clock;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly prober: EndpointProber;
  readonly links: Pick<LinkMonitor, 'record' | 'isIsolated' | 'isSuspect'>;
  /** Other nodes that requests may be handed over to. */
  readonly neighbours: Neighbours;
  /** Rate limits that endpoints announced, and the permits to send them requests. */
  readonly rateLimits: Pick<RateLimits, 'record'>;
  readonly permits: Pick<Permits, 'findLimit' | 'estimateWait' | 'acquire'>;
  /** Shares of capacity that requests may fill, by priority. */
  readonly admission: Pick<AdmissionExchange, 'findShare' | 'record' | 'hold' | 'listShares'>;
  readonly crashes: CrashRecorder;
  readonly partGuard: PartGuard;
  readonly decisions: Pick<SiteDecisions, 'choosePath' | 'movesRuns' | 'prefersLocalZone'>;
  /** Registers a callback for endpoints that become unreachable; returns its removal. */
  readonly onLost: (callback: (endpoint: string) => void) => () => void;
  readonly stopSignal: Pick<StopSignal, 'isRaised' | 'onRaised'>;
  readonly zoneLinks: ZoneLinkMonitor;
  /** Limit on the memory of all responses that are buffered at the same time. */
  readonly responseMemory: BodyMemoryLimit;
  /** Requests that wait for a path, of services whose requests have different priorities. */
  readonly waitingRooms: WaitingRooms;
  /** Whether this node spreads its choices of a path for services with several priorities. */
  readonly spreadsChoices: boolean;
  /** Returns the number of live nodes, including this one. */
  readonly countNodes: () => number;
  /** Returns the milliseconds since the last load report of another node. */
  readonly readLoadAge: () => number;
  /** Returns the number of live nodes of the same availability zone without a load report. */
  readonly countNodesWithoutLoad: () => number;
}

/** Request that was admitted. */
export interface RelayedRequest {
  readonly caller: RequestMetadata;
  readonly forwarded: ForwardedRequest;
  readonly route: SiteRoute;
  readonly service: SiteService;
  readonly account: string | undefined;
  readonly priority: number;
  readonly arrivedAt: number;
  /** Whether another node handed it over, so that this node must not do so. */
  readonly isHandedOver: boolean;
  /** Whether that node has sent it to an endpoint, so that this node repeats it. */
  readonly isRepeat: boolean;
  /** Version of the configuration that admitted it. */
  readonly configurationVersion: number;
  /** Time at which the caller must have its final response, in milliseconds. */
  readonly deadlineAt: number;
  readonly response: CallerResponse;
  readonly log: RequestLog;
}
