/**
 * Checks what the platform reads: `npm run check-platform -- [--settings FILE] [--deploy FILE]`.
 */
import { checkDeployFile, checkSettingsFile } from '../platform/checkFiles/index.js';
import { readOptions } from './readOptions/index.js';

const values = readOptions({
  settings: { type: 'string', default: 'examples/platform/settings.json' },
  deploy: { type: 'string', default: 'deploy/system.toml' },
});
const faults = [...checkSettingsFile(values.settings), ...checkDeployFile(values.deploy)];
for (const fault of faults) console.error(fault);
if (faults.length === 0) console.log(`${values.settings}, ${values.deploy}: valid`);
process.exit(faults.length === 0 ? 0 : 1);
