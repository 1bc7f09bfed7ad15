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

type Shower = (options: NodeArguments, rest: readonly string[]) => Promise<void>;

function print(options: NodeArguments, value: unknown, rows: readonly Row[]): void {
  printOutput(options.output as OutputFormat, value, rows);
}

const showObjects: Shower = async (options) => {
  const found = await callOrPrint(options, 'GET', '/v1/configuration');
  if (found === undefined) return;
  const { objects } = configurationSchema.parse(found);
  const rows = objects.map(({ kind, name, labels, changedAt }) => ({
    object: `${kind}/${name}`,
    revision: changedAt,
    labels: formatLabels(labels),
  }));
  print(options, objects, rows);
};

const showSelectors: Shower = async (options) => {
  const found = await callOrPrint(options, 'GET', '/v1/configuration');
  if (found === undefined) return;
  const { selectors } = configurationSchema.parse(found);
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
  print(options, selectors, rows);
};

const showEndpoints: Shower = async (options) => {
  const found = await callOrPrint(options, 'GET', '/v1/endpoints');
  if (found === undefined) return;
  const endpoints = endpointsSchema.parse(found);
  const rows = endpoints.map(({ kind, name, labels, leaving }) => ({
    endpoint: `${kind}/${name}`,
    leaving,
    labels: formatLabels(labels),
  }));
  print(options, endpoints, rows);
};

const showBookings: Shower = async (options, [account]) => {
  if (account === undefined) {
    printError('invalidChange', 'name the client account: get bookings ACCOUNT');
    return;
  }
  const path = `/v1/bookings/${encodeURIComponent(account)}`;
  const found = await callOrPrint(options, 'GET', path);
  if (found === undefined) return;
  const { inDoubt } = bookingsSchema.parse(found);
  print(options, inDoubt, inDoubt);
};

const SHOWERS: Record<string, Shower> = {
  objects: showObjects,
  selectors: showSelectors,
  endpoints: showEndpoints,
  bookings: showBookings,
};

/** The command. */
export const getCommand = defineCommand({
  meta: {
    name: 'get',
    description:
      'Show objects, selectors, endpoints, or bookings in doubt. Examples: get objects; get selectors --output json; get endpoints; get bookings kiosk-mission',
  },
  args: { ...NODE_ARGUMENTS },
  run: async ({ args }) => {
    const [what = '', ...rest] = args._;
    const shower = SHOWERS[what];
    if (shower) await shower(args, rest);
    else printError('notFound', `get what? One of ${Object.keys(SHOWERS).join(', ')}`);
  },
});
