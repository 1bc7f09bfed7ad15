/**
 * Helpers of the tests that run complete nodes under a virtual clock.
 */
import { digestText } from '../../src/version/digestText/index.js';
import type { ConfigurationOperation } from '../../src/types/configuration/index.js';
import {
  createVirtualSystem,
  type CreateVirtualSystemOptions,
  type VirtualResponse,
  type VirtualSystem,
} from '../../standins/createVirtualSystem/index.js';
import type { VirtualFleet } from '../../standins/createVirtualFleet/index.js';

/** API key of the client account `caller`. */
export const CALLER_KEY = 'key-of-the-caller';

const LAYERS = 48;

/**
 * Returns the operations that configure a model `m`, a service `s` and the client account `caller`.
 */
export function listOperations(version = '1', layers = LAYERS): ConfigurationOperation[] {
  const common = { callers: {}, priority: 5, share: 100, weigh: 'recovery', changedAt: 0 } as const;
  return [
    {
      kind: 'setLabels',
      object: 'account',
      name: 'caller',
      labels: { class: 'kiosk', 'key-sha256': digestText(CALLER_KEY) },
    },
    {
      kind: 'putSelector',
      selector: {
        ...common,
        name: 'models',
        endpoints: { role: 'm' },
        serve: { kind: 'model', model: 'm', version, adapter: '', layers },
      },
    },
    {
      kind: 'putSelector',
      selector: {
        ...common,
        name: 'services',
        endpoints: { role: 's' },
        serve: { kind: 'service', service: 's' },
      },
    },
  ];
}

/**
 * Sends a configuration change to the operator interface of a node; returns the request's
 * identifier.
 */
export function sendChange(
  system: VirtualSystem,
  node: string,
  id: string,
  operations: readonly ConfigurationOperation[],
  baseRevision = 0,
): string {
  const request = `change-${id}`;
  const body = JSON.stringify({
    allowUnmatched: true,
    change: { id: `change-id-${id}`, baseRevision, operations },
  });
  system.dispatch(node, {
    kind: 'operatorRequest',
    request,
    method: 'POST',
    path: '/v1/changes',
    body,
  });
  return request;
}

/** Starts every node of a system, applies the configuration and runs until it is in force. */
export function startSystem(
  fleet: VirtualFleet,
  options: Omit<CreateVirtualSystemOptions, 'createEndpoints'>,
): VirtualSystem {
  const system = createVirtualSystem({ ...options, createEndpoints: fleet.createEndpoints });
  system.platform.setVms(fleet.vms);
  system.nodeNames.forEach(system.start);
  system.run(3_000);
  sendChange(system, 'node-1', 'first', listOperations());
  system.run(8_000);
  return system;
}

/** Sends a caller's request to a node and returns its identifier. */
export function sendRequest(
  system: VirtualSystem,
  node: string,
  request: string,
  path: string,
  body: string,
  headers: Record<string, string> = {},
): string {
  system.dispatch(node, {
    kind: 'callerRequest',
    request,
    method: 'POST',
    path,
    headers: { authorization: `Bearer ${CALLER_KEY}`, ...headers },
    body,
  });
  return request;
}

/** Sends a booking with an idempotency key and the caller's try number; returns its identifier. */
export function sendBooking(
  system: VirtualSystem,
  node: string,
  request: string,
  key: string,
  tryNumber = 1,
): string {
  const headers = {
    'idempotency-key': key,
    'x-deadline-milliseconds': '5000',
    'idempotency-attempt': tryNumber.toString(),
  };
  return sendRequest(system, node, request, '/v1/services/s/book', `{"key":"${key}"}`, headers);
}

/**
 * Returns the outcome that a response states: `answered` for a success, `none` while it is open.
 */
export function readOutcome(answer: VirtualResponse | undefined): string {
  if (!answer?.isOver) return 'none';
  return /"outcome":"([a-z-]+)"/.exec(answer.body)?.[1] ?? 'answered';
}

/** Returns the text of a streamed response. */
export function readStreamedText(answer: VirtualResponse | undefined): string {
  const events = answer?.body.split('\n\n') ?? [];
  return events
    .map((event) => /^data: (\{.*\})$/m.exec(event)?.[1])
    .map((data) => (data === undefined ? '' : (JSON.parse(data) as StreamChunk).choices[0]?.text))
    .join('');
}

interface StreamChunk {
  readonly choices: { readonly text: string }[];
}
