/**
 * `marjoramcleat serve`: runs one node.
 */
import { defineCommand } from 'citty';
import { ListenError } from '../../process/runtime/listenHttp/index.js';
import { listenForSignals } from '../../process/runtime/listenForSignals/index.js';
import { startNode, type RunningNode } from '../../process/runtime/startNode/index.js';
import { readSettings, type LoadedSettings } from '../../process/settings/readSettings/index.js';
import { formatSettingsErrors } from '../check/index.js';
import { printError } from '../printOutput/index.js';

async function start(loaded: LoadedSettings): Promise<RunningNode | undefined> {
  try {
    return await startNode(loaded);
  } catch (error) {
    if (!(error instanceof ListenError)) throw error;
    const { listener, address } = error;
    printError(
      'addressInUse',
      `${listener} cannot listen on ${address}: stop the process that uses it, or change '${listener}.port'`,
    );
    return undefined;
  }
}

/** The `serve` command. */
export const serveCommand = defineCommand({
  meta: {
    name: 'serve',
    description:
      'Run one node until SIGTERM or SIGINT shuts it down gracefully. Example: serve --settings node-1.json',
  },
  args: { settings: { type: 'string', description: 'settings file', required: true } },
  run: async ({ args }) => {
    const signals = listenForSignals();
    const loaded = readSettings(args.settings);
    if (loaded.isErr) {
      printError('invalidSettings', formatSettingsErrors(args.settings, loaded.error));
      return;
    }
    const running = await start(loaded.value);
    if (!running) return;
    signals.serve((signal) => {
      // Settings are read at the start only; the operators' interface changes the configuration.
      if (signal === 'SIGHUP') running.logIgnoredSignal(signal);
      else running.leave();
    });
    process.exitCode = await running.ended;
    process.exit();
  },
});
