/**
 * Times from the loss of layers in an availability zone to the first request through them again.
 */
import type { StreamHop, VirtualEngine } from '../createEngineFleet/types.js';

/** A range that a crash took from a zone, until a request ran through it there. */
export interface Repair {
  readonly availabilityZone: string;
  readonly at: number;
  /** Milliseconds from the crash to the first request. */
  readonly milliseconds: number;
}

/** Watch on repairs. */
export interface RepairWatch {
  /** Notes a crash, before the engine loses its layers. */
  readonly noteCrash: (engine: VirtualEngine) => void;
  /** Notes a run that engines have accepted. */
  readonly noteRun: (hops: readonly StreamHop[]) => void;
  readonly repairs: readonly Repair[];
}

/** Options of {@link createRepairWatch}. */
export interface CreateRepairWatchOptions {
  readonly engines: readonly VirtualEngine[];
  /** Virtual time in milliseconds. */
  readonly now: () => number;
}

interface Lost {
  readonly availabilityZone: string;
  readonly layer: number;
  readonly at: number;
}

/**
 * Creates the watch; layers of which the zone has another copy do not count.
 *
 * @param options - the engines and the time
 * @returns the watch
 * @example
 * createRepairWatch({ engines, now: time.now }).repairs;
 */
export function createRepairWatch({ engines, now }: CreateRepairWatchOptions): RepairWatch {
  const repairs: Repair[] = [];
  let open: Lost[] = [];
  const isHeldBesides = (engine: VirtualEngine, layer: number): boolean =>
    engines.some(
      (other) =>
        other !== engine &&
        !other.isDown &&
        other.availabilityZone === engine.availabilityZone &&
        other.layers !== undefined &&
        other.layers.from <= layer &&
        layer < other.layers.to,
    );
  return {
    repairs,
    noteCrash: (engine) => {
      const { layers, availabilityZone } = engine;
      if (!layers) return;
      const lost = Array.from(
        { length: layers.to - layers.from },
        (_, index) => layers.from + index,
      );
      const missing = lost.find((layer) => !isHeldBesides(engine, layer));
      if (missing !== undefined) open.push({ availabilityZone, layer: missing, at: now() });
    },
    noteRun: (hops) => {
      if (open.length === 0) return;
      const isThrough = ({ availabilityZone, layer }: Lost): boolean =>
        hops.some(
          ({ engine, range }) =>
            engine.availabilityZone === availabilityZone && range.from <= layer && layer < range.to,
        );
      for (const lost of open.filter(isThrough)) {
        const { availabilityZone, at } = lost;
        repairs.push({ availabilityZone, at, milliseconds: now() - at });
      }
      open = open.filter((lost) => !isThrough(lost));
    },
  };
}
