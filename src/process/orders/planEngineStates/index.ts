/**
 * Desired state of every engine.
 */
import type { Endpoint } from '../../../connection/createFleet/index.js';
import type { Selector } from '../../../types/configuration/index.js';
import type { EngineState } from '../../../types/endpoint/index.js';
import { matchLabels } from '../../../version/matchLabels/index.js';
import { planLayers, type PlannedEngine } from '../../../version/planLayers/index.js';

type ModelSelector = Selector & { readonly serve: { readonly kind: 'model' } };

function isModelSelector(selector: Selector): selector is ModelSelector {
  return selector.serve.kind === 'model';
}

function readFixedRange(endpoint: Endpoint): PlannedEngine['fixed'] {
  const [, from, to] = /^(\d+)-(\d+)$/.exec(endpoint.labels.layers ?? '') ?? [];
  if (from === undefined || to === undefined) return undefined;
  return { from: Number(from), to: Number(to) };
}

function describeEngine(endpoint: Endpoint, selector: ModelSelector): PlannedEngine {
  const { report, name } = endpoint;
  const hostsModel = report?.model === selector.serve.model;
  const capacity = Number(endpoint.labels['layer-capacity'] ?? selector.serve.layers);
  const fixed = readFixedRange(endpoint);
  const reported = hostsModel ? report : undefined;
  return { name, capacity, ...(fixed && { fixed }), ...(reported && { reported }) };
}

/**
 * Plans the desired state of every engine.
 *
 * Selectors are applied by priority, then by name. The first that matches an engine decides its
 * model, version and layers; later ones of the same model and version add their adapters.
 *
 * @param selectors - the selectors of one configuration
 * @param endpoints - the endpoints of the fleet
 * @returns the desired state by engine name
 * @example
 * planEngineStates(version.selectors, fleet.list()).get('engine-1');
 */
export function planEngineStates(
  selectors: readonly Selector[],
  endpoints: readonly Endpoint[],
): Map<string, EngineState> {
  const ordered = selectors
    .filter(isModelSelector)
    .sort((left, right) => right.priority - left.priority || left.name.localeCompare(right.name));
  const engines = endpoints.filter(({ kind, leaving }) => kind === 'engine' && !leaving);
  const desired = new Map<string, EngineState>();
  for (const selector of ordered) {
    const matching = engines.filter(({ labels }) => matchLabels(selector.endpoints, labels));
    const free = matching.filter(({ name }) => !desired.has(name));
    const plan = planLayers(
      selector,
      free.map((endpoint) => describeEngine(endpoint, selector)),
    );
    for (const { name } of matching) addAdapter(desired, name, selector);
    for (const [name, state] of plan) desired.set(name, state);
  }
  return desired;
}

function addAdapter(
  desired: Map<string, EngineState>,
  name: string,
  selector: ModelSelector,
): void {
  const state = desired.get(name);
  const { model, version, adapter } = selector.serve;
  if (state?.model !== model || state.version !== version || adapter === '') return;
  const adapters = [...new Set([...state.adapters, adapter])].sort();
  desired.set(name, { ...state, adapters });
}
