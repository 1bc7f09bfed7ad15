/**
 * `marjoramcleat get`: shows labelled objects, selectors, endpoints and bookings in doubt.
 */
import { defineCommand } from 'citty';
import { z } from 'zod';
import { configurationSchema, labelsSchema, type Labels } from '../../types/configuration/index.js';
import { callOrPrint, NODE_ARGUMENTS, type NodeArguments } from '../callNode/index.js';
import { printError, printOutput, type OutputFormat, type Row } from '../printOutput/index.js';

const endpointsSchema = z.array(
  z.object({ kind: z.string(), name: z.string(), labels: labelsSchema, leaving: z.boolean() }),
);
const bookingsSchema = z.object({
  inDoubt: z.array(z.object({ key: z.string(), state: z.string(), node: z.string() })),
});

const HIDDEN_LABELS = new Set(['key-sha256']);

function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .filter(([key]) => !HIDDEN_LABELS.has(key))
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');
}

type ShowFunction = (options: NodeArguments, rest: readonly string[]) => Promise<void>;

function printRows(options: NodeArguments, value: unknown, rows: readonly Row[]): void {
  printOutput(options.output as OutputFormat, value, rows);
}

const showObjects: ShowFunction = async (options) => {
  const response = await callOrPrint(options, 'GET', '/v1/configuration');
  if (response === undefined) return;
  const { objects } = configurationSchema.parse(response);
  const rows = objects.map(({ kind, name, labels, changedAt }) => ({
    object: `${kind}/${name}`,
    revision: changedAt,
    labels: formatLabels(labels),
  }));
  printRows(options, objects, rows);
};

const showSelectors: ShowFunction = async (options) => {
  const response = await callOrPrint(options, 'GET', '/v1/configuration');
  if (response === undefined) return;
  const { selectors } = configurationSchema.parse(response);
  const rows = selectors.map(({ name, callers, endpoints, serve, priority, share, changedAt }) => ({
    selector: name,
    revision: changedAt,
    callers: formatLabels(callers),
    endpoints: formatLabels(endpoints),
    serves:
      serve.kind === 'model' ? `${serve.model} ${serve.version} ${serve.adapter}` : serve.service,
    priority,
    share,
  }));
  printRows(options, selectors, rows);
};

const showEndpoints: ShowFunction = async (options) => {
  const response = await callOrPrint(options, 'GET', '/v1/endpoints');
  if (response === undefined) return;
  const endpoints = endpointsSchema.parse(response);
  const rows = endpoints.map(({ kind, name, labels, leaving }) => ({
    endpoint: `${kind}/${name}`,
    leaving,
    labels: formatLabels(labels),
  }));
  printRows(options, endpoints, rows);
};

const showBookings: ShowFunction = async (options, [account]) => {
  if (account === undefined) {
    printError('invalidChange', 'name the client account: get bookings ACCOUNT');
    return;
  }
  const path = `/v1/bookings/${encodeURIComponent(account)}`;
  const response = await callOrPrint(options, 'GET', path);
  if (response === undefined) return;
  const { inDoubt } = bookingsSchema.parse(response);
  printRows(options, inDoubt, inDoubt);
};

const SHOW_FUNCTIONS: Record<string, ShowFunction> = {
  objects: showObjects,
  selectors: showSelectors,
  endpoints: showEndpoints,
  bookings: showBookings,
};

/** The `get` command. */
export const getCommand = defineCommand({
  meta: {
    name: 'get',
    description:
      'Show objects, selectors, endpoints, or bookings in doubt. Examples: get objects; get selectors --output json; get endpoints; get bookings kiosk-mission',
  },
  args: { ...NODE_ARGUMENTS },
  run: async ({ args }) => {
    const [resource = '', ...rest] = args._;
    const show = SHOW_FUNCTIONS[resource];
    if (show) await show(args, rest);
    else
      printError(
        'notFound',
        `unknown resource '${resource}'. One of ${Object.keys(SHOW_FUNCTIONS).join(', ')}`,
      );
  },
});
