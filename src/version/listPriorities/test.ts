/**
 * Guards against services whose requests differ in priority and are treated as if they did not, and against admission
 * by priority for services that have only one.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { createRoute, createSiteConfiguration } from '../../../tests/support/site/index.js';
import { computePriority } from '../../request/computePriority/index.js';
import { listPriorities } from './index.js';

function shareEvenly(...services: readonly string[]) {
  return services.map((service) => ({ service, weight: 1 }));
}

test('lists the priorities of all routes to a service in ascending order', () => {
  const routes = [
    createRoute({ name: 'b', priority: 2, services: shareEvenly('assistant') }),
    createRoute({ name: 'a', priority: 0, services: shareEvenly('assistant', 'booking') }),
  ];
  const priorities = listPriorities(createSiteConfiguration({ routes }));
  assert.deepEqual(priorities.get('assistant'), [1, 3]);
  assert.deepEqual(priorities.get('booking'), [1]);
});

test('the priority of an account replaces that of a route, except without an account', () => {
  const accounts = [{ name: 'kiosk', keys: ['key-1'], priority: 0 }];
  const list = (isPublic: boolean) =>
    listPriorities(createSiteConfiguration({ accounts, routes: [createRoute({ isPublic })] }));
  assert.deepEqual(list(false).get('booking'), [1]);
  assert.deepEqual(list(true).get('booking'), [1, 2]);
});

test('a site without accounts has the priorities of its routes', () => {
  const priorities = listPriorities(createSiteConfiguration({ accounts: undefined }));
  assert.deepEqual(priorities.get('booking'), [2]);
});

test('equals the set of the priorities of every request that can be made', () => {
  const names = ['assistant', 'booking', 'search'];
  const routeFacts = fc.record({
    priority: fc.integer({ min: 0, max: 12 }),
    isPublic: fc.boolean(),
    services: fc.subarray(names).map((services) => shareEvenly(...services)),
  });
  const accountPriority = fc.option(fc.integer({ min: 0, max: 12 }), { nil: undefined });
  fc.assert(
    fc.property(
      fc.array(routeFacts, { maxLength: 6 }),
      fc.option(fc.array(accountPriority, { maxLength: 4 }), { nil: undefined }),
      (routes, accountPriorities) => {
        const accounts = accountPriorities?.map((priority, index) => ({
          name: `account-${index}`,
          keys: [`key-${index}`],
          priority,
        }));
        const configuration = createSiteConfiguration({
          accounts,
          routes: routes.map(createRoute),
        });
        const priorities = listPriorities(configuration);
        for (const name of names) {
          const expected = new Set<number>();
          for (const route of routes.filter(({ services }) =>
            services.some(({ service }) => service === name),
          )) {
            if (!accounts || route.isPublic)
              expected.add(computePriority(route.priority, undefined));
            for (const account of accounts ?? [])
              expected.add(computePriority(route.priority, account.priority));
          }
          const listed = [...(priorities.get(name) ?? [])];
          assert.deepEqual(
            listed,
            [...expected].sort((left, right) => left - right),
          );
        }
      },
    ),
    { seed: 45, numRuns: 200 },
  );
});
