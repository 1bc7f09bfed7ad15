/**
 * Entry point of the executable: the node and the operators' command line.
 */
import { defineCommand, runMain } from 'citty';
import { checkCommand } from './commands/check/index.js';
import { explainCommand } from './commands/explain/index.js';
import { getCommand } from './commands/get/index.js';
import { histogramsCommand } from './commands/histograms/index.js';
import { labelCommand } from './commands/label/index.js';
import { selectorCommand } from './commands/selector/index.js';
import { serveCommand } from './commands/serve/index.js';
import { statusCommand } from './commands/status/index.js';
import { VERSION, versionCommand } from './commands/version/index.js';

const main = defineCommand({
  meta: {
    name: 'marjoramcleat',
    version: VERSION,
    description: 'A router for language-model pipelines over mixed accelerators',
  },
  subCommands: {
    serve: serveCommand,
    check: checkCommand,
    label: labelCommand,
    selector: selectorCommand,
    get: getCommand,
    status: statusCommand,
    histograms: histogramsCommand,
    explain: explainCommand,
    version: versionCommand,
  },
});

// The reader of a pipe may close it early, as `head` does; the command then exits without an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code === 'EPIPE') process.exit(0);
  throw error;
});

void runMain(main);
