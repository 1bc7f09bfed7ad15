/**
 * Application of an operator's change to a configuration.
 */
import { Result } from 'true-myth';
import type {
  ConfigurationChange,
  Configuration,
  LabelledObject,
  ConfigurationOperation,
} from '../../types/configuration/index.js';
import { checkLabels } from '../checkLabels/index.js';

/** Reason for a refusal: the change is invalid, or it conflicts with a later revision of an object. */
export type ChangeRefusal =
  | { readonly kind: 'invalid'; readonly errors: readonly string[] }
  | {
      readonly kind: 'conflict';
      readonly object: string;
      readonly revision: number;
      readonly accepted: string;
      readonly refused: string;
    };

/** Mutable copy of a configuration while operations are applied. */
interface Draft {
  readonly objects: Map<string, LabelledObject>;
  readonly selectors: Map<string, Configuration['selectors'][number]>;
}

/** Applies one operation to the draft; returns a refusal when it cannot be applied. */
type Step = (
  draft: Draft,
  change: ConfigurationChange,
  revision: number,
) => ChangeRefusal | undefined;

function refuseConflict(
  object: string,
  revision: number,
  accepted: unknown,
  refused: unknown,
): ChangeRefusal {
  return {
    kind: 'conflict',
    object,
    revision,
    accepted: JSON.stringify(accepted),
    refused: JSON.stringify(refused),
  };
}

function setLabels(operation: Extract<ConfigurationOperation, { kind: 'setLabels' }>): Step {
  return (draft, change, revision) => {
    const key = `${operation.object}/${operation.name}`;
    const present = draft.objects.get(key);
    if (present && present.changedAt > change.baseRevision && present.changedAt !== revision) {
      return refuseConflict(key, present.changedAt, present.labels, operation.labels);
    }
    const labels = Object.fromEntries(
      Object.entries({ ...present?.labels, ...operation.labels }).filter(
        (entry): entry is [string, string] => entry[1] !== null,
      ),
    );
    const errors = checkLabels(operation.object, labels);
    if (errors.length > 0) return { kind: 'invalid', errors };
    if (Object.keys(labels).length === 0) {
      draft.objects.delete(key);
      return undefined;
    }
    const { object: kind, name } = operation;
    draft.objects.set(key, { kind, name, labels, changedAt: revision });
    return undefined;
  };
}

function putSelector(operation: Extract<ConfigurationOperation, { kind: 'putSelector' }>): Step {
  return (draft, change, revision) => {
    const { selector } = operation;
    const present = draft.selectors.get(selector.name);
    if (present && present.changedAt > change.baseRevision && present.changedAt !== revision) {
      return refuseConflict(`selector/${selector.name}`, present.changedAt, present, selector);
    }
    draft.selectors.set(selector.name, { ...selector, changedAt: revision });
    return undefined;
  };
}

function removeSelector(
  operation: Extract<ConfigurationOperation, { kind: 'removeSelector' }>,
): Step {
  return (draft, change) => {
    const present = draft.selectors.get(operation.name);
    if (!present) return { kind: 'invalid', errors: [`no selector is named '${operation.name}'`] };
    if (present.changedAt > change.baseRevision) {
      return refuseConflict(`selector/${operation.name}`, present.changedAt, present, null);
    }
    draft.selectors.delete(operation.name);
    return undefined;
  };
}

function createStep(operation: ConfigurationOperation): Step {
  if (operation.kind === 'setLabels') return setLabels(operation);
  if (operation.kind === 'putSelector') return putSelector(operation);
  return removeSelector(operation);
}

/**
 * Applies a change to a configuration.
 *
 * A change against an older revision is merged when the objects that it touches have not changed
 * since that revision; otherwise it is refused with both values.
 *
 * @param configuration - the latest configuration; it is not modified
 * @param change - the change to apply
 * @returns the next configuration, whose revision is one higher, or the refusal
 * @example
 * applyOperations(configuration, { id, baseRevision: 3, operations });
 */
export function applyOperations(
  configuration: Configuration,
  change: ConfigurationChange,
): Result<Configuration, ChangeRefusal> {
  const revision = configuration.revision + 1;
  const draft: Draft = {
    objects: new Map(configuration.objects.map((item) => [`${item.kind}/${item.name}`, item])),
    selectors: new Map(configuration.selectors.map((item) => [item.name, item])),
  };
  for (const operation of change.operations) {
    const refusal = createStep(operation)(draft, change, revision);
    if (refusal) return Result.err(refusal);
  }
  return Result.ok({
    revision,
    objects: [...draft.objects.values()],
    selectors: [...draft.selectors.values()],
  });
}
