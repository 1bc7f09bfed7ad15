/**
 * `marjoramcleat version`: prints the version.
 */
import { defineCommand } from 'citty';

/** Version of the build. */
export const VERSION = process.env.MARJORAMCLEAT_VERSION ?? 'development';

/** The `version` command. */
export const versionCommand = defineCommand({
  meta: { name: 'version', description: 'Print the version. Example: version' },
  run: () => {
    process.stdout.write(`marjoramcleat ${VERSION}\n`);
  },
});
