/**
 * Guards against open requests that get no final response at a stop, or two.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import type { NodeEffect } from '../../../types/node/index.js';
import { createOpenRequests } from './index.js';

test('only requests without a final response are interrupted, and only once', () => {
  const effects: NodeEffect[] = [];
  const openRequests = createOpenRequests((effect) => effects.push(effect));
  for (const request of ['answered', 'ended', 'gone', 'open']) openRequests.add(request);
  const answer = { kind: 'answer', status: 200, headers: {}, body: '' } as const;
  openRequests.emit({ ...answer, request: 'answered' });
  openRequests.emit({ kind: 'streamEnd', request: 'ended' });
  openRequests.remove('gone');
  effects.length = 0;
  openRequests.interruptAll();
  openRequests.interruptAll();
  assert.equal(effects.length, 1);
  const [effect] = effects;
  assert.ok(effect?.kind === 'answer');
  assert.equal(effect.request, 'open');
  assert.equal(effect.status, 504);
  assert.match(effect.body, /"code":1506.*"outcome":"unknown"/);
  openRequests.emit({ ...answer, request: 'open' });
  assert.equal(effects.length, 1, 'a late response is dropped');
});
