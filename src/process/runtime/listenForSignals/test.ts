/**
 * Guards against signals that end a process before its node runs, and against signals that are lost.
 */
import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import test from 'node:test';
import { listenForSignals, type HandledSignal } from './index.js';

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
  test(`a ${signal} takes effect once when the node runs, and later ones at once`, () => {
    const source = new EventEmitter();
    const received: HandledSignal[] = [];
    const signals = listenForSignals(source);
    source.emit(signal, signal);
    source.emit(signal, signal);
    signals.serve((name) => received.push(name));
    assert.deepEqual(received, [signal]);
    source.emit(signal, signal);
    assert.deepEqual(received, [signal, signal]);
  });
}

test('a signal that came before the node runs counts from its arrival', async () => {
  const source = new EventEmitter();
  const signals = listenForSignals(source);
  const sentAt = performance.now();
  source.emit('SIGTERM', 'SIGTERM');
  await new Promise((resolve) => setTimeout(resolve, 30));
  source.emit('SIGTERM', 'SIGTERM');
  signals.serve((_, receivedAt) => {
    assert.ok(receivedAt - sentAt < 20, `${receivedAt - sentAt} ms`);
  });
});
