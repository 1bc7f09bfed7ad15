/**
 * `marjoramcleat label`: sets and removes labels.
 */
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { defineCommand } from 'citty';
import { z } from 'zod';
import {
  changeSchema,
  configurationSchema,
  objectKindSchema,
  type ConfigurationOperation,
} from '../../types/configuration/index.js';
import { callOrPrint, NODE_ARGUMENTS, type NodeArguments } from '../callNode/index.js';
import { printError, printOutput, type OutputFormat } from '../printOutput/index.js';
import { parseLabels, parseTarget } from '../parseTarget/index.js';

const acceptedSchema = z.object({
  revision: z.number(),
  peers: z.number(),
  warnings: z.array(z.string()),
});

const labelFileSchema = z.array(
  z.object({
    object: objectKindSchema,
    name: z.string(),
    labels: z.record(z.string(), z.string().nullable()),
  }),
);

/**
 * Submits a change based on the newest revision and prints the result.
 *
 * @param options - address, key and output format
 * @param operations - operations of the change
 * @param allowUnmatched - true to accept selectors that match no endpoint
 * @returns nothing
 * @example
 * await submitChange(options, operations, false);
 */
export async function submitChange(
  options: NodeArguments,
  operations: readonly ConfigurationOperation[],
  allowUnmatched: boolean,
): Promise<void> {
  const current = await callOrPrint(options, 'GET', '/v1/configuration');
  if (current === undefined) return;
  const { revision: baseRevision } = configurationSchema.parse(current);
  const change = changeSchema.safeParse({ id: randomUUID(), baseRevision, operations });
  if (!change.success) {
    const [issue] = change.error.issues;
    printError('invalidChange', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
    return;
  }
  const body = { change: change.data, allowUnmatched };
  const response = await callOrPrint(options, 'POST', '/v1/changes', body);
  if (response === undefined) return;
  const accepted = acceptedSchema.parse(response);
  for (const warning of accepted.warnings) process.stderr.write(`warning: ${warning}\n`);
  const row = { revision: accepted.revision, peers: accepted.peers };
  printOutput(options.output as OutputFormat, accepted, [row]);
}

/**
 * Reads a JSON file.
 *
 * @param file - path of the file
 * @returns the parsed value, or undefined after printing the error
 * @example
 * readJsonFile('examples/fit-desk/labels.json');
 */
export function readJsonFile(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : '';
    printError('invalidChange', `the file '${file}' cannot be read as JSON: ${reason}`);
    return undefined;
  }
}

function readOperationsFile(file: string): ConfigurationOperation[] | undefined {
  const value = readJsonFile(file);
  if (value === undefined) return undefined;
  const parsed = labelFileSchema.safeParse(value);
  if (parsed.success) return parsed.data.map((entry) => ({ kind: 'setLabels', ...entry }));
  const [issue] = parsed.error.issues;
  printError('invalidChange', `${file}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
  return undefined;
}

function parseOperations(texts: readonly string[]): ConfigurationOperation[] | undefined {
  const [target = '', ...labelTexts] = texts;
  const parsedTarget = parseTarget(target);
  if (parsedTarget.isErr) {
    printError('invalidChange', parsedTarget.error);
    return undefined;
  }
  const labels = parseLabels(labelTexts);
  if (labels.isErr) {
    printError('invalidChange', labels.error);
    return undefined;
  }
  return [{ kind: 'setLabels', ...parsedTarget.value, labels: labels.value }];
}

/** The `label` command. */
export const labelCommand = defineCommand({
  meta: {
    name: 'label',
    description:
      'Set or remove labels. Examples: label account/kiosk-mission class=kiosk; label vm/vm-fit-large-01 state=leaving; label engine/fit-large-01 layers-; label --file labels.json',
  },
  args: {
    ...NODE_ARGUMENTS,
    file: { type: 'string', description: 'JSON file with a list of objects and their labels' },
  },
  run: async ({ args }) => {
    const operations =
      args.file === undefined ? parseOperations(args._) : readOperationsFile(args.file);
    if (operations) await submitChange(args, operations, false);
  },
});
