import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEndpoint } from '../../../tests/support/site/index.js';
import { chooseEndpoint } from './index.js';

const options = {
  excluded: new Set<string>(),
  availabilityZone: 'mission',
  estimateWait: () => 0,
  now: 1_000,
  random: () => 0.5,
};

test('chooses the endpoint with the lowest load, in the local or a remote zone', () => {
  const local = createEndpoint({ id: 'near' });
  const remote = createEndpoint({ id: 'far', availabilityZone: 'abbotsford' });
  assert.equal(chooseEndpoint({ ...options, candidates: [remote, local] })?.record.id, 'near');
  local.localRequests = 6;
  assert.equal(chooseEndpoint({ ...options, candidates: [remote, local] })?.record.id, 'far');
});

test('uses the load report of an endpoint only while it is recent', () => {
  const loaded = createEndpoint({ id: 'loaded' });
  const other = createEndpoint({ id: 'other' });
  Object.assign(loaded, { running: 6, waiting: 10, loadReadAt: 900 });
  Object.assign(other, { localRequests: 1 });
  const candidates = [loaded, other];
  assert.equal(chooseEndpoint({ ...options, candidates })?.record.id, 'other');
  assert.equal(chooseEndpoint({ ...options, candidates, now: 5_000 })?.record.id, 'loaded');
});

test('does not choose an endpoint that the request already tried', () => {
  const only = createEndpoint({ id: 'only' });
  const chosen = chooseEndpoint({ ...options, candidates: [only], excluded: new Set(['only']) });
  assert.equal(chosen, undefined);
});
