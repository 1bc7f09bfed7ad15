/**
 * What the parts of the relay share.
 */
import type { ServerResponse } from 'node:http';
import type { EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { SpendingBudget } from '../../../request/createSpendingBudget/index.js';
import type { CallerRequest, RawHeaders, Wire } from '../../../types/relay/index.js';
import type { SiteRoute, SiteService } from '../../../types/site/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { Examiner } from '../createExaminer/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';

/** Services of the process that a relayed request uses. */
export interface RelayContext {
  readonly availabilityZone: string;
  readonly endpoints: EndpointTable;
  readonly wire: Wire;
  readonly budget: SpendingBudget;
  readonly logger: SiteLogger;
  readonly metrics: RelayMetrics;
  /** Milliseconds on a clock that never goes back. */
  readonly now: () => number;
  readonly random: () => number;
  readonly examiner: Examiner;
  /** Calls back when an endpoint is lost; returns a function that stops this. */
  readonly onLost: (callback: (endpoint: string) => void) => () => void;
}

/** One request that was admitted. */
export interface RelayedRequest {
  readonly caller: CallerRequest;
  readonly method: string;
  readonly url: string;
  readonly rawHeaders: RawHeaders;
  readonly body: Buffer | undefined;
  readonly route: SiteRoute;
  readonly service: SiteService;
  readonly account: string | undefined;
  readonly priority: number;
  readonly arrivedAt: number;
  /** When the caller has to have its final answer, in milliseconds. */
  readonly finalAt: number;
  readonly response: ServerResponse;
  /** Calls back when the caller has gone. */
  readonly onGone: (callback: () => void) => void;
}
