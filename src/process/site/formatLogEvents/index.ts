/**
 * The table of log events as a page.
 */
import { z } from 'zod';
import { LOG_EVENTS, type LogEvent } from '../logEvents/index.js';

const INTRODUCTION = `# Log events

Printed by \`npm run log-events\`; a test holds it to the table in \`src/process/site/logEvents\`.

Each line on standard output is a JSON object with \`timestamp\`, \`node\`, \`availabilityZone\`, \`level\`,
\`message\` (the event) and the event's fields. \`leftOut\` on a line counts lines that were left out before
it, since a node writes a bounded number. Events that name a request come only for requests that failed,
were slow, moved or refused, and for one in twenty of the rest; all events of such a request are written
together at its end, each with the time at which it happened. No line holds a key, a prompt or a body.
`;

function formatFields(fields: z.ZodObject): string {
  const entries = Object.entries(fields.shape);
  return entries
    .map(([name, schema]) => `\`${name}\`: ${z.globalRegistry.get(schema)?.description ?? ''}`)
    .join('; ');
}

/**
 * Formats the table of log events.
 *
 * @returns the page in Markdown
 * @example
 * writeFileSync('docs/LOG-EVENTS.md', formatLogEvents());
 */
export function formatLogEvents(): string {
  const sections = Object.entries<LogEvent>(LOG_EVENTS).map(([name, { level, meaning, fields }]) =>
    `- **\`${name}\`** (${level}): ${meaning} ${formatFields(fields)}`.trimEnd(),
  );
  return `${INTRODUCTION}\n${sections.join('\n')}\n`;
}
