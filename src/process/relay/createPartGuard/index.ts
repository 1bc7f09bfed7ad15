/**
 * Guard of one node against requests that crash endpoints: circuit breakers for the parts of requests,
 * their log, and the gates of requests.
 */
import {
  createPartBreakers,
  type PartBreakers,
  type PartChange,
} from '../../../request/createPartBreakers/index.js';
import { limitPromptParts } from '../../../request/limitPromptParts/index.js';
import { listRequestParts } from '../../../request/listRequestParts/index.js';
import type { PartFacts } from '../../../types/breaker/index.js';
import type { Clock } from '../../../types/clock/index.js';
import type { ForwardedRequest, RequestMetadata } from '../../../types/relay/index.js';
import type { SiteService } from '../../../types/site/index.js';
import type { SiteLogger } from '../../site/createSiteLogger/index.js';
import type { RelayMetrics } from '../createRelayMetrics/index.js';
import type { RequestLog } from '../createRequestLog/index.js';
import { createRunGate, type RunGate } from '../createRunGate/index.js';

/** Options of {@link createPartGuard}. */
export interface CreatePartGuardOptions {
  readonly node: string;
  readonly clock: Pick<Clock, 'now'>;
  readonly logger: SiteLogger;
  readonly metrics: Pick<RelayMetrics, 'count'>;
  /** Announces facts that this node found to the other nodes. */
  readonly announce: (facts: Partial<PartFacts>) => void;
}

/** Request whose runs a gate admits. */
export interface GuardedRequest {
  readonly caller: RequestMetadata;
  readonly forwarded: ForwardedRequest;
  readonly service: SiteService;
  readonly account: string | undefined;
  readonly log: RequestLog;
}

/** Guard of one node. */
export interface PartGuard {
  readonly breakers: PartBreakers;
  readonly createGate: (request: GuardedRequest) => RunGate;
}

/**
 * Creates the guard.
 *
 * @param options - the node, its clock, logger and counters, and the announcement to other nodes
 * @returns the guard
 * @example
 * createPartGuard(options).createGate(request).admitRun();
 */
export function createPartGuard(options: CreatePartGuardOptions): PartGuard {
  const { node, clock, logger, metrics, announce } = options;
  const callbacks = new Set<(change: PartChange) => void>();
  const logChange = (change: PartChange): void => {
    if (change.kind === 'closed') {
      logger.log('part-cleared', { part: change.part });
      return;
    }
    const { part, state, reports } = change;
    metrics.count('blocked_parts');
    logger.log('part-blocked', {
      part,
      crashes: state.crashes,
      endpoints: reports.map(({ endpoint }) => endpoint).join(' '),
      causes: reports.map(({ attempt }) => attempt).join(' '),
      pauseMilliseconds: state.pauseMilliseconds,
    });
  };
  const breakers = createPartBreakers({
    node,
    onChange: (change) => {
      logChange(change);
      for (const callback of [...callbacks]) callback(change);
    },
  });
  return {
    breakers,
    createGate: ({ service, account, forwarded, caller, log }) => {
      const promptParts = limitPromptParts(caller.promptParts);
      return createRunGate({
        breakers,
        clock,
        log,
        metrics,
        promptParts,
        readParts: () =>
          listRequestParts({ service: service.name, account, forwarded, promptParts }),
        announce,
        onChange: (callback) => {
          callbacks.add(callback);
          return () => callbacks.delete(callback);
        },
      });
    },
  };
}
