/**
 * Choice of the selector that serves a request.
 */
import type { Selector } from '../../types/configuration/index.js';
import type { Account, CompiledConfiguration } from '../compileConfiguration/index.js';
import { matchLabels } from '../matchLabels/index.js';

/** Options of {@link pickSelector}. */
export interface PickSelectorOptions {
  readonly version: CompiledConfiguration;
  readonly account: Account;
  readonly kind: 'model' | 'service';
  /** Name of the model or of the service. */
  readonly name: string;
  /** Random number, at least 0 and less than 1, that picks among selectors by their share. */
  readonly draw: number;
}

/**
 * Lists the selectors that admit a client account to a model or service.
 *
 * @param options - the compiled version, the account, and the requested model or service
 * @returns the matching selectors, in order of the configuration
 * @example
 * listMatchingSelectors({ version, account, kind: 'model', name: 'fit-assistant' });
 */
export function listMatchingSelectors(options: Omit<PickSelectorOptions, 'draw'>): Selector[] {
  return options.version.selectors.filter(({ serve, callers }) => {
    const served = serve.kind === 'model' ? serve.model : serve.service;
    if (serve.kind !== options.kind || served !== options.name) return false;
    return matchLabels(callers, options.account.labels);
  });
}

/**
 * Chooses one of the matching selectors by share.
 *
 * Two selectors with shares 95 and 5 split requests in that proportion, for example for a canary.
 *
 * @param options - the compiled version, the account, the requested model or service, and the draw
 * @returns the selector, or undefined when none matches
 * @example
 * pickSelector({ version, account, kind: 'service', name: 'booking', draw: random() });
 */
export function pickSelector(options: PickSelectorOptions): Selector | undefined {
  const matching = listMatchingSelectors(options);
  const total = matching.reduce((sum, selector) => sum + selector.share, 0);
  let remaining = options.draw * total;
  for (const selector of matching) {
    remaining -= selector.share;
    if (remaining < 0) return selector;
  }
  return matching[0];
}
