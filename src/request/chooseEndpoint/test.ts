import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createEndpoint } from '../../../tests/support/site/index.js';
import { chooseEndpoint } from './index.js';

const options = {
  excluded: new Set<string>(),
  availabilityZone: 'mission',
  now: 1_000,
  random: () => 0.5,
};

test('the endpoint with the least load is chosen, whichever zone it is in', () => {
  const near = createEndpoint({ id: 'near' });
  const far = createEndpoint({ id: 'far', availabilityZone: 'abbotsford' });
  assert.equal(chooseEndpoint({ ...options, candidates: [far, near] })?.record.id, 'near');
  near.ownRequests = 6;
  assert.equal(chooseEndpoint({ ...options, candidates: [far, near] })?.record.id, 'far');
});

test("an endpoint's own word on its load is believed only while it is fresh", () => {
  const loaded = createEndpoint({ id: 'loaded' });
  const other = createEndpoint({ id: 'other' });
  Object.assign(loaded, { running: 6, waiting: 10, loadReadAt: 900 });
  Object.assign(other, { ownRequests: 1 });
  const candidates = [loaded, other];
  assert.equal(chooseEndpoint({ ...options, candidates })?.record.id, 'other');
  assert.equal(chooseEndpoint({ ...options, candidates, now: 5_000 })?.record.id, 'loaded');
});

test('an endpoint that the request has met is not chosen again', () => {
  const only = createEndpoint({ id: 'only' });
  const chosen = chooseEndpoint({ ...options, candidates: [only], excluded: new Set(['only']) });
  assert.equal(chosen, undefined);
});
