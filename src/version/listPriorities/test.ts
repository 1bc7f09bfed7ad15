/**
 * Guards against a service whose requests differ in priority only through accounts, or through another
 * route, being taken for one with a single priority.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createRoute, createSiteConfiguration } from '../../../tests/support/site/index.js';
import type { SiteConfiguration } from '../../types/site/index.js';
import { listPriorities } from './index.js';

const SERVICES = ['booking', 'assistant'].map((name) => ({
  name,
  healthPath: '/healthz',
  maximumConnections: 10,
}));

/** Lists the priorities of one service by trying each caller on each route. */
function listNaively(configuration: SiteConfiguration, service: string): number[] {
  const callers = [undefined, ...(configuration.accounts ?? [])];
  const found: number[] = [];
  for (const route of configuration.routes) {
    for (const account of callers) {
      const isAdmitted = account ?? (route.isPublic || !configuration.accounts);
      if (!isAdmitted || !route.services.some((share) => share.service === service)) continue;
      const priority = account?.priority ?? route.priority;
      if (!found.includes(priority)) found.push(priority);
    }
  }
  return found.sort((left, right) => left - right);
}

test('uses the priority of an account in place of that of the route', () => {
  const accounts = [
    { name: 'kiosk', keys: ['key-1'], priority: 0 },
    { name: 'desk', keys: ['key-2'] },
  ];
  const configuration = createSiteConfiguration({
    accounts,
    routes: [createRoute({ priority: 2 })],
  });
  assert.deepEqual(listPriorities(configuration).get('booking'), [0, 2]);
});

test('counts a public route with its own priority, which callers without a key have', () => {
  const accounts = [{ name: 'kiosk', keys: ['key-1'], priority: 0 }];
  const routes = [createRoute({ priority: 3, isPublic: true })];
  assert.deepEqual(
    listPriorities(createSiteConfiguration({ accounts, routes })).get('booking'),
    [0, 3],
  );
});

test('returns an empty list for a service without routes and ignores unknown services', () => {
  const routes = [createRoute({ services: [{ service: 'gone', weight: 1 }] })];
  const priorities = listPriorities(createSiteConfiguration({ routes }));
  assert.deepEqual([...priorities], [['booking', []]]);
});

test('finds the same priorities as a trial of each caller on each route', () => {
  const priority = fc.integer({ min: 0, max: 4 });
  const route = fc.record({
    priority,
    isPublic: fc.boolean(),
    services: fc.subarray(SERVICES.map(({ name }) => ({ service: name, weight: 1 }))),
  });
  const account = fc.record({
    name: fc.constant('kiosk'),
    keys: fc.constant([]),
    priority: fc.option(priority, { nil: undefined }),
  });
  const accounts = fc.option(fc.array(account, { maxLength: 4 }), { nil: undefined });
  fc.assert(
    fc.property(fc.array(route, { maxLength: 4 }), accounts, (routes, drawnAccounts) => {
      const configuration = createSiteConfiguration({
        services: SERVICES,
        routes: routes.map((drawn) => createRoute(drawn)),
        accounts: drawnAccounts,
      });
      const priorities = listPriorities(configuration);
      for (const { name } of SERVICES) {
        assert.deepEqual(priorities.get(name), listNaively(configuration, name));
      }
    }),
    { seed: 31, numRuns: 300 },
  );
});
