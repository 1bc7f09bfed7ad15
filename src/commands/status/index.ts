/**
 * `marjoramcleat status`: shows nodes, engines by layer range, VMs that leave and backlogs.
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

/** Prints the status of a node on a site, as the platform starts it. */
function printSite(status: SiteStatus): void {
  const { node, version, isStoreReachable, storeRevision, isPlanner, loadAge } = status;
  const store = isStoreReachable ? 'reached' : 'out of reach';
  process.stdout.write(
    `${node}: configuration ${version}, store ${store} at revision ${storeRevision}, ` +
      `planner ${isPlanner ? 'here' : 'elsewhere'}, load of others ${loadAge} ms old\n\n`,
  );
  printSection('Nodes', status.nodes);
  printSection('Services', status.services);
  printSection('Room for requests, tokens by layers (-1: nobody holds them)', status.room);
  printSection('Endpoints', status.endpoints);
}

function roundLimits(row: Row): Row {
  return { ...row, limit: Math.round(Number(row.limit)) };
}

/** The command. */
export const statusCommand = defineCommand({
  meta: {
    name: 'status',
    description:
      'Show the state of the system as one node sees it; on the platform ask its readiness address. Example: status --node 127.0.0.1:8201',
  },
  args: { ...NODE_ARGUMENTS },
  run: async ({ args }) => {
    const found = await callOrPrint(args, 'GET', '/v1/status');
    if (found === undefined) return;
    if (args.output === 'json') {
      process.stdout.write(`${JSON.stringify(found)}\n`);
      return;
    }
    const site = siteStatusSchema.safeParse(found).data;
    if (site) {
      printSite(site);
      return;
    }
    const status = statusSchema.parse(found);
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
