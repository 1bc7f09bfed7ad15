/**
 * `marjoramcleat explain`: shows the events of one request from the logs of several nodes.
 */
import { readFileSync } from 'node:fs';
import { defineCommand } from 'citty';
import { explainRequest } from '../../request/explainRequest/index.js';
import { printError, printOutput } from '../printOutput/index.js';

/** The `explain` command. */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      'Show the events of a request from log files. Example: explain --request 9c41d07be2a35f68 node-1.log node-2.log',
  },
  args: {
    request: { type: 'string', description: "the caller's attempt id", required: true },
    output: { type: 'enum', options: ['table', 'json'], default: 'table', description: 'format' },
  },
  run: ({ args }) => {
    const files = args._;
    if (files.length === 0) {
      printError('malformedRequest', 'name at least one log file after the options');
      return;
    }
    try {
      const lines = files.flatMap((file) => readFileSync(file, 'utf8').split('\n'));
      const events = explainRequest(lines, args.request);
      const rows = events.map(({ timestamp, node, event, details }) => ({
        timestamp,
        node,
        event,
        details,
      }));
      if (rows.length > 0) printOutput(args.output, events, rows);
      else
        printError('notFound', `no line names request ${args.request}; are all nodes' logs given?`);
    } catch (error) {
      printError('malformedRequest', error instanceof Error ? error.message : String(error));
    }
  },
});
