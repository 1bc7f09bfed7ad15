import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAST_ACCELERATOR,
  LAYERED_MODEL,
  MEDIUM_ACCELERATOR,
  SLOW_ACCELERATOR,
  createRoute,
  createSiteConfiguration,
} from '../../../tests/support/site/index.js';
import type { AcceleratorKind, SiteConfiguration } from '../../types/site/index.js';
import { listSpreadServices } from './index.js';

/** Creates a configuration of one model service whose accelerators are of the given kinds. */
function createConfiguration(
  kinds: readonly AcceleratorKind[],
  changes: Partial<SiteConfiguration> = {},
): SiteConfiguration {
  return createSiteConfiguration({
    routes: [createRoute({ services: [{ service: 'assistant', weight: 1 }] })],
    services: [
      {
        name: 'assistant',
        healthPath: '/',
        maximumConnections: 10,
        model: { ...LAYERED_MODEL, kinds },
      },
      { name: 'booking', healthPath: '/', maximumConnections: 10 },
    ],
    ...changes,
  });
}

const SIMILAR = [FAST_ACCELERATOR, MEDIUM_ACCELERATOR];
const VERY_SLOW = { ...SLOW_ACCELERATOR, pace: 12 * FAST_ACCELERATOR.pace };

// Guards against other choices at sites of one priority, where the spread makes more streams late.
test('lists no service of one priority, also with accelerators of very different speed', () => {
  for (const kinds of [[], SIMILAR, [FAST_ACCELERATOR, VERY_SLOW]])
    assert.deepEqual([...listSpreadServices(createConfiguration(kinds))], []);
});

// Guards against the priority of a route that the priorities of all accounts replace, and of a service without model.
test('lists a service with several effective priorities', () => {
  const services = [
    { service: 'assistant', weight: 1 },
    { service: 'booking', weight: 1 },
  ];
  const list = (changes: Partial<SiteConfiguration>): string[] => [
    ...listSpreadServices(createConfiguration(SIMILAR, changes)),
  ];
  const routes = [createRoute({ services, priority: 0 }), createRoute({ services, priority: 2 })];
  assert.deepEqual(list({ routes }), ['assistant']);
  const accounts = [{ name: 'kiosk', keys: ['key-1'], priority: 1 }];
  assert.deepEqual(list({ routes, accounts }), []);
  const more = [...accounts, { name: 'desk', keys: ['key-2'] }];
  assert.deepEqual(list({ accounts: more, routes: routes.slice(1) }), ['assistant']);
});
