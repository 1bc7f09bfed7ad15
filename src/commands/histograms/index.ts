/**
 * `marjoramcleat histograms`: shows latency percentiles for each client account and class.
 */
import { defineCommand } from 'citty';
import { z } from 'zod';
import { callOrPrint, NODE_ARGUMENTS } from '../callNode/index.js';
import { printOutput, type OutputFormat } from '../printOutput/index.js';

const summarySchema = z.object({
  metric: z.string(),
  account: z.string(),
  class: z.string(),
  count: z.number(),
  p50: z.number(),
  p95: z.number(),
  p99: z.number(),
  maximum: z.number(),
});

/** The `histograms` command. */
export const histogramsCommand = defineCommand({
  meta: {
    name: 'histograms',
    description:
      'Show latency percentiles in milliseconds for each client account and class. Example: histograms --class kiosk',
  },
  args: {
    ...NODE_ARGUMENTS,
    account: { type: 'string', description: 'only this client account' },
    class: { type: 'string', description: 'only this class' },
  },
  run: async ({ args }) => {
    const response = await callOrPrint(args, 'GET', '/v1/histograms');
    if (response === undefined) return;
    const rows = z
      .array(summarySchema)
      .parse(response)
      .filter((row) => args.account === undefined || row.account === args.account)
      .filter((row) => args.class === undefined || row.class === args.class);
    printOutput(args.output as OutputFormat, rows, rows);
  },
});
