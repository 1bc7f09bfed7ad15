/**
 * Prints the table of log events: `npm run log-events`.
 */
import { writeFileSync } from 'node:fs';
import { formatLogEvents } from '../src/process/site/formatLogEvents/index.js';

const PAGE = 'docs/LOG-EVENTS.md';

writeFileSync(PAGE, formatLogEvents());
console.log(`${PAGE} is written`);
