/**
 * Writes the table of log events to docs/LOG-EVENTS.md: `npm run log-events`.
 */
import { writeFileSync } from 'node:fs';
import { formatLogEvents } from '../src/process/site/formatLogEvents/index.js';

const PAGE = 'docs/LOG-EVENTS.md';

writeFileSync(PAGE, formatLogEvents());
console.log(`wrote ${PAGE}`);
