/**
 * What the parts of the relay share.
 */
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { PipeGauge } from '../../../request/createPipeGauge/index.js';
import type { SpendingBudget } from '../../../request/createSpendingBudget/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type {
  RequestMetadata,
  CallerResponse,
  EndpointPort,
  ForwardedRequest,
} from '../../../types/relay/index.js';
import type { SiteRoute, SiteService } from '../../../types/site/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { BodyMemoryLimit } from '../createBodyAllowance/index.js';
import type { Examiner } from '../createExaminer/index.js';
import type { SiteDecisions } from '../../site/siteDecisions/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';
import type { RequestLog } from '../createRequestLog/index.js';

/** Services of the process that a relayed request uses. */
export interface RelayContext {
  readonly availabilityZone: string;
  readonly endpoints: EndpointTable;
  readonly endpointPort: EndpointPort;
  readonly budget: SpendingBudget;
  readonly logger: SiteLogger;
  readonly metrics: RelayMetrics;
  readonly clock: Clock;
  /** Numbers from 0 to 1. */
  readonly random: () => number;
  readonly examiner: Examiner;
  readonly decisions: Pick<SiteDecisions, 'choosePath' | 'movesRuns' | 'prefersOwnZone'>;
  /** Calls back when an endpoint is lost; returns a function that stops this. */
  readonly onLost: (callback: (endpoint: string) => void) => () => void;
  readonly pipes: PipeGauge;
  /** Memory for whole answers that are being read. */
  readonly answerMemory: BodyMemoryLimit;
  /** Living nodes, this one included. */
  readonly countNodes: () => number;
  /** Milliseconds since the load of other nodes was last heard. */
  readonly readLoadAge: () => number;
  /** Living nodes of the same availability zone whose load is not known. */
  readonly countUnheardNodes: () => number;
}

/** One request that was admitted. */
export interface RelayedRequest {
  readonly caller: RequestMetadata;
  readonly forwarded: ForwardedRequest;
  readonly route: SiteRoute;
  readonly service: SiteService;
  readonly account: string | undefined;
  readonly priority: number;
  readonly arrivedAt: number;
  /** When the caller has to have its final answer, in milliseconds. */
  readonly deadlineAt: number;
  readonly response: CallerResponse;
  readonly log: RequestLog;
}
