/**
 * Orders in progress that this node sent to endpoints.
 */
import type { Endpoint, EndpointTable } from '../../../connection/createEndpointTable/index.js';
import type { EndpointControl, OrderOutcome } from '../../../types/relay/index.js';
import type { EndpointReport, LayerRange } from '../../../types/site/index.js';
import type { SiteLogger } from '../createSiteLogger/index.js';

/** Options of {@link createOrderBook}. */
export interface CreateOrderBookOptions {
  readonly endpoints: Pick<EndpointTable, 'find'>;
  readonly endpointPort: Pick<EndpointControl, 'sendOrder'>;
  readonly logger: SiteLogger;
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number;
}

/** Orders in progress, by endpoint. */
export interface OrderBook {
  /** Sends an order; the endpoint rejects it if it accepted another order after its last report. */
  readonly send: (endpoint: Endpoint, range: LayerRange) => Promise<void>;
  /** Removes the order of an endpoint whose report says that it is no longer busy. */
  readonly applyReport: (endpoint: Endpoint, report: EndpointReport) => void;
  /** Returns the range that an endpoint was ordered to host, if an order is in progress. */
  readonly findRange: (id: string) => LayerRange | undefined;
  readonly has: (id: string) => boolean;
  /** Drops orders to endpoints that restarted, and orders without a reported effect in time. */
  readonly dropStale: () => void;
  readonly clear: () => void;
}

interface Order {
  readonly range: LayerRange;
  readonly startedAt: number;
  readonly sentAt: number;
}

/** Time after which an order without a reported effect is dropped. */
const ORDER_TIMEOUT_MILLISECONDS = 12_000;

/**
 * Returns whether two ranges are the same.
 *
 * @param left - a range, or undefined
 * @param right - the other range, or undefined
 * @returns whether both are missing or name the same layers
 * @example
 * isSameRange({ from: 0, to: 4 }, undefined); // false
 */
export function isSameRange(left: LayerRange | undefined, right: LayerRange | undefined): boolean {
  return left?.from === right?.from && left?.to === right?.to;
}

/**
 * Creates an empty order book.
 *
 * @param options - the endpoints, the port to them, the log and the clock
 * @returns the order book
 * @example
 * await createOrderBook(options).send(endpoint, { from: 0, to: 26 });
 */
export function createOrderBook(options: CreateOrderBookOptions): OrderBook {
  const { endpoints, endpointPort, logger, now } = options;
  const orders = new Map<string, Order>();
  return {
    send: async (endpoint, range) => {
      const { record } = endpoint;
      orders.set(record.id, { range, startedAt: record.startedAt, sentAt: now() });
      const outcome: OrderOutcome = await endpointPort.sendOrder({
        endpoint: record.id,
        address: record.address,
        range,
        acceptedOrders: endpoint.acceptedOrders ?? 0,
      });
      logger.log('order-sent', {
        endpoint: record.id,
        from: range.from,
        to: range.to,
        held: endpoint.layers ? `${endpoint.layers.from}-${endpoint.layers.to}` : '',
        acceptedOrders: endpoint.acceptedOrders ?? 0,
        outcome,
      });
      if (outcome === 'conflict' || outcome === 'refused') orders.delete(record.id);
    },
    applyReport: ({ record }, report) => {
      const order = orders.get(record.id);
      if (!order || report.isBusy) return;
      if (isSameRange(order.range, report.layers)) {
        logger.log('order-done', {
          endpoint: record.id,
          from: order.range.from,
          to: order.range.to,
          loadMilliseconds: Math.round(now() - order.sentAt),
        });
      }
      orders.delete(record.id);
    },
    findRange: (id) => orders.get(id)?.range,
    has: (id) => orders.has(id),
    dropStale: () => {
      for (const [id, order] of orders) {
        const isSame = endpoints.find(id)?.record.startedAt === order.startedAt;
        if (!isSame || now() - order.sentAt > ORDER_TIMEOUT_MILLISECONDS) orders.delete(id);
      }
    },
    clear: () => {
      orders.clear();
    },
  };
}
