/**
 * Starts all stand-ins of a site: `npm run standins -- --settings FILE`.
 */
import { explainPortFailure } from '../standins/explainPortFailure/index.js';
import { readSiteSettings, startSite } from '../standins/startSite/index.js';
import { readOptions } from './readOptions/index.js';

const values = readOptions({ settings: { type: 'string' } });
const file = values.settings ?? 'examples/fit-desk/standins.json';
const settings = readSiteSettings(file);
const site = await startSite(settings).catch((error: unknown): never => {
  const explanation = explainPortFailure(error, settings, file);
  if (explanation === undefined) throw error;
  console.error(explanation);
  process.exit(1);
});
console.log(
  JSON.stringify({
    platform: site.platform.address,
    engines: site.engines.size,
    services: site.services.length,
  }),
);
const stop = (): void => {
  void site.close().then(() => process.exit(0));
};
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
