/**
 * Checks a node's settings file and the deploy file of the platform:
 * `npm run check-platform -- [--settings FILE] [--deploy FILE]`.
 */
import { checkDeployFile, checkSettingsFile } from '../platform/checkFiles/index.js';
import { readOptions } from './readOptions/index.js';

const values = readOptions({
  settings: { type: 'string', default: 'examples/platform/settings.json' },
  deploy: { type: 'string', default: 'deploy/system.toml' },
});
const problems = [...checkSettingsFile(values.settings), ...checkDeployFile(values.deploy)];
for (const problem of problems) console.error(problem);
if (problems.length === 0) console.log(`${values.settings}, ${values.deploy}: valid`);
process.exit(problems.length === 0 ? 0 : 1);
