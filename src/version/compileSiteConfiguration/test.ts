import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRoute, createSiteConfiguration } from '../../../tests/support/site/index.js';
import { compileSiteConfiguration } from './index.js';

const compiled = compileSiteConfiguration(
  createSiteConfiguration({
    routes: [
      createRoute({ name: 'short', prefix: '/desk/' }),
      createRoute({ name: 'long', prefix: '/desk/bookings/' }),
      createRoute({ name: 'other', host: 'other.example', prefix: '/desk/' }),
    ],
  }),
);

test('selects the route with the longest matching prefix of the host', () => {
  assert.equal(compiled.findRoute('desk.example', '/desk/bookings/3')?.name, 'long');
  assert.equal(compiled.findRoute('DESK.example', '/desk/bookings')?.name, 'short');
  assert.equal(compiled.findRoute('other.example', '/desk/bookings/3')?.name, 'other');
});

test('finds no route for an unknown path or host', () => {
  assert.equal(compiled.findRoute('desk.example', '/deskx/'), undefined);
  assert.equal(compiled.findRoute('nowhere.example', '/desk/'), undefined);
});

test('finds the client account of an API key', () => {
  assert.equal(compiled.findAccount('key-1')?.name, 'kiosk');
  assert.equal(compiled.findAccount('key-2'), undefined);
});
