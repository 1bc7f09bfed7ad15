/**
 * Routing of operators' requests by method and path.
 */
import { z } from 'zod';
import type { Fleet } from '../../../connection/createFleet/index.js';
import {
  createErrorResponse,
  createJsonResponse,
} from '../../../request/createErrorResponse/index.js';
import { readJournalRecord } from '../../../request/decideIntent/index.js';
import { changeSchema, type ConfigurationChange } from '../../../types/configuration/index.js';
import type { NodeEvent } from '../../../types/node/index.js';
import { matchLabels } from '../../../version/matchLabels/index.js';
import type {
  ChangeAcceptor,
  ChangeFailure,
} from '../../configuration/createChangeAcceptor/index.js';
import type { ConfigurationStore } from '../../configuration/createConfigurationStore/index.js';
import { parseJson } from '../../parseJson/index.js';
import type { NodeContext } from '../createContext/index.js';
import type { NodeStatus } from '../describeStatus/index.js';

/** Event of an operator's request whose key has been verified. */
export type OperatorRequestEvent = Extract<NodeEvent, { kind: 'operatorRequest' }>;

/** Options of {@link createOperatorRouter}. */
export interface CreateOperatorRouterOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationStore;
  readonly acceptor: ChangeAcceptor;
  readonly fleet: Fleet;
  readonly getStatus: () => NodeStatus;
}

const changeRequestSchema = z.object({
  change: changeSchema,
  allowUnmatched: z.boolean().default(false),
});

type Handler = (event: OperatorRequestEvent) => void;

/**
 * Creates the router of operators' requests.
 *
 * @param options - the components that serve operators
 * @returns a function that handles each request
 * @example
 * const route = createOperatorRouter(options);
 * route(event);
 */
export function createOperatorRouter(
  options: CreateOperatorRouterOptions,
): (event: OperatorRequestEvent) => void {
  const { context, configuration, fleet } = options;

  const listUnmatched = (change: ConfigurationChange): string[] =>
    change.operations.flatMap((operation) => {
      if (operation.kind !== 'putSelector') return [];
      const { name, endpoints } = operation.selector;
      const isMatched = fleet.list().some(({ labels }) => matchLabels(endpoints, labels));
      return isMatched
        ? []
        : [`selector '${name}' matches no endpoint: ${JSON.stringify(endpoints)}`];
    });
  const sendFailure = (request: string, failure: ChangeFailure): void => {
    if (failure.kind === 'invalid') {
      const message = failure.errors.join('; ');
      context.emit(createErrorResponse({ request, code: 'invalidChange', message }));
      return;
    }
    if (failure.kind === 'conflict') {
      const { object, revision, accepted, refused } = failure;
      const message = `${object} was changed by revision ${revision.toString()}: accepted ${accepted}, refused ${refused}; read it again and repeat the change`;
      context.emit(createErrorResponse({ request, code: 'changeConflict', message }));
      return;
    }
    const code = failure.kind === 'unsettled' ? 'changeUnsettled' : 'storeUnavailable';
    context.emit(createErrorResponse({ request, code, retryAfterMilliseconds: 1_000 }));
  };
  const acceptChange: Handler = ({ request, body }) => {
    const parsed = changeRequestSchema.safeParse(parseJson(body));
    if (!parsed.success) {
      const message = parsed.error.issues
        .map(({ path, message: text }) => `${path.join('.')}: ${text}`)
        .join('; ');
      context.emit(createErrorResponse({ request, code: 'invalidChange', message }));
      return;
    }
    const { change, allowUnmatched } = parsed.data;
    const unmatched = listUnmatched(change);
    if (unmatched.length > 0 && !allowUnmatched) {
      const message = `${unmatched.join('; ')}; correct the match, or repeat with --allow-unmatched`;
      context.emit(createErrorResponse({ request, code: 'invalidChange', message }));
      return;
    }
    options.acceptor.accept(change, (result) => {
      if (result.isErr) sendFailure(request, result.error);
      else context.emit(createJsonResponse(request, 200, { ...result.value, warnings: unmatched }));
    });
  };
  const sendBookings: Handler = ({ request, path }) => {
    const account = decodeURIComponent(path.slice('/v1/bookings/'.length));
    context.callPlatform({ kind: 'list', prefix: `journal/${account}/` }, (result) => {
      if (result.kind !== 'entries') {
        context.emit(createErrorResponse({ request, code: 'storeUnavailable' }));
        return;
      }
      const bookings = result.entries.flatMap(({ key, value }) => {
        const record = readJournalRecord(value);
        if (!record || record.state === 'answered' || record.state === 'abandoned') return [];
        const { state, node, attempt, digest } = record;
        return [{ key, state, node, attempt, digest }];
      });
      context.emit(createJsonResponse(request, 200, { inDoubt: bookings }));
    });
  };

  const ROUTES: readonly { method: string; pattern: RegExp; handle: Handler }[] = [
    {
      method: 'GET',
      pattern: /^\/v1\/configuration$/,
      handle: ({ request }) => {
        context.emit(createJsonResponse(request, 200, configuration.getActive().configuration));
      },
    },
    { method: 'POST', pattern: /^\/v1\/changes$/, handle: acceptChange },
    {
      method: 'GET',
      pattern: /^\/v1\/status$/,
      handle: ({ request }) => {
        context.emit(createJsonResponse(request, 200, options.getStatus()));
      },
    },
    { method: 'GET', pattern: /^\/v1\/bookings\/[^/]+$/, handle: sendBookings },
    {
      method: 'GET',
      pattern: /^\/v1\/endpoints$/,
      handle: ({ request }) => {
        const endpoints = fleet.list().map(({ kind, name, labels, leaving, report }) => ({
          kind,
          name,
          labels,
          leaving,
          report,
        }));
        context.emit(createJsonResponse(request, 200, endpoints));
      },
    },
  ];

  return (event) => {
    const { request, method, path } = event;
    const route = ROUTES.find((entry) => entry.method === method && entry.pattern.test(path));
    if (route) route.handle(event);
    else context.emit(createErrorResponse({ request, code: 'notFound' }));
  };
}
