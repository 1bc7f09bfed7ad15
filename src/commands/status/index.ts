/**
 * `marjoramcleat status`: shows nodes, engines by layer range, leaving VMs and backlogs.
 */
import { defineCommand } from 'citty';
import { z } from 'zod';
import { siteStatusSchema, type SiteStatus } from '../../process/site/describeSite/index.js';
import { callOrPrint, NODE_ARGUMENTS } from '../callNode/index.js';
import { formatTable, type Row } from '../printOutput/index.js';

const rowSchema = z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]));
const statusSchema = z.object({
  node: z.string(),
  revision: z.number(),
  nodes: z.array(rowSchema),
  engines: z.array(rowSchema),
  services: z.array(rowSchema),
  leavingVms: z.array(z.string()),
  pools: z.array(rowSchema),
  journalBacklog: z.number(),
  orders: z.object({ fencing: z.number(), backlog: z.number(), blocked: z.array(z.string()) }),
});

function printSection(title: string, rows: readonly Row[]): void {
  process.stdout.write(`${title}\n${formatTable(rows, process.stdout.isTTY)}\n\n`);
}

/** Prints the status of a site node, which is a node that the platform starts. */
function printSiteStatus(status: SiteStatus): void {
  const { node, version, isStoreReachable, storeRevision, isPlanner, loadAge } = status;
  const { storeEra = 0 } = status;
  const store = isStoreReachable ? 'reachable' : 'unreachable';
  process.stdout.write(
    `${node}: configuration ${version}, store ${store} at revision ${storeRevision} of era ${storeEra}, ` +
      `planner ${isPlanner ? 'on this node' : 'on another node'}, last load report of another node ${loadAge} ms ago\n\n`,
  );
  printSection('Nodes', status.nodes);
  printSection('Services', status.services);
  printSection(
    'Free KV-cache memory for requests, in tokens by layer range (-1: hosted by no endpoint)',
    status.room,
  );
  printSection('Endpoints', status.endpoints);
  const { blockedParts = [] } = status;
  if (blockedParts.length > 0) printSection('Blocked parts of requests', blockedParts);
}

function roundLimits(row: Row): Row {
  return { ...row, limit: Math.round(Number(row.limit)) };
}

/** The `status` command. */
export const statusCommand = defineCommand({
  meta: {
    name: 'status',
    description:
      'Show the state of the system as seen by one node; on the platform, use its readiness address. Example: status --node 127.0.0.1:8201',
  },
  args: { ...NODE_ARGUMENTS },
  run: async ({ args }) => {
    const response = await callOrPrint(args, 'GET', '/v1/status');
    if (response === undefined) return;
    if (args.output === 'json') {
      process.stdout.write(`${JSON.stringify(response)}\n`);
      return;
    }
    const site = siteStatusSchema.safeParse(response).data;
    if (site) {
      printSiteStatus(site);
      return;
    }
    const status = statusSchema.parse(response);
    process.stdout.write(`${status.node}: revision ${status.revision.toString()}\n\n`);
    printSection('Nodes', status.nodes);
    printSection('Engines', status.engines);
    printSection('Services', status.services);
    printSection('Pools', status.pools.map(roundLimits));
    const { fencing, backlog, blocked } = status.orders;
    const leaving = status.leavingVms.join(' ') || '(none)';
    process.stdout.write(
      `VMs leaving: ${leaving}\nJournal backlog: ${status.journalBacklog.toString()}\n` +
        `Orders: fencing ${fencing.toString()}, backlog ${backlog.toString()}, blocked ${blocked.join(' ') || '(none)'}\n`,
    );
  },
});
