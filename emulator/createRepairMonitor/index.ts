/**
 * Measures the time from the loss of layers in an availability zone to the next request that runs
 * through them there.
 */
import type { StreamHop, VirtualEngine } from '../createEngineFleet/types.js';

/** Repair of layers that an availability zone lost in a crash. */
export interface Repair {
  readonly availabilityZone: string;
  /** Virtual time of the crash, in milliseconds. */
  readonly at: number;
  /** Time from the crash to the first request through the layers, in milliseconds. */
  readonly milliseconds: number;
}

/** Monitor of repairs. */
export interface RepairMonitor {
  /** Records a crash; must be called before the engine loses its layers. */
  readonly recordCrash: (engine: VirtualEngine) => void;
  /** Records the hops of a run that their engines have accepted; repairs of layers on them end. */
  readonly recordRun: (hops: readonly StreamHop[]) => void;
  readonly repairs: readonly Repair[];
}

/** Options of {@link createRepairMonitor}. */
export interface CreateRepairMonitorOptions {
  readonly engines: readonly VirtualEngine[];
  /** Virtual time in milliseconds. */
  readonly now: () => number;
}

interface LostLayer {
  readonly availabilityZone: string;
  readonly layer: number;
  readonly at: number;
}

/**
 * Creates a repair monitor. Layers that another live engine of the zone hosts are not counted as lost.
 *
 * @param options - engines and virtual time
 * @returns the monitor
 * @example
 * createRepairMonitor({ engines, now: time.now }).repairs;
 */
export function createRepairMonitor({ engines, now }: CreateRepairMonitorOptions): RepairMonitor {
  const repairs: Repair[] = [];
  let openRepairs: LostLayer[] = [];
  const hasOtherCopy = (engine: VirtualEngine, layer: number): boolean =>
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
    recordCrash: (engine) => {
      const { layers, availabilityZone } = engine;
      if (!layers) return;
      const lost = Array.from(
        { length: layers.to - layers.from },
        (_, index) => layers.from + index,
      );
      const missing = lost.find((layer) => !hasOtherCopy(engine, layer));
      if (missing !== undefined) openRepairs.push({ availabilityZone, layer: missing, at: now() });
    },
    recordRun: (hops) => {
      if (openRepairs.length === 0) return;
      const isServed = ({ availabilityZone, layer }: LostLayer): boolean =>
        hops.some(
          ({ engine, range }) =>
            engine.availabilityZone === availabilityZone && range.from <= layer && layer < range.to,
        );
      for (const lost of openRepairs.filter(isServed)) {
        const { availabilityZone, at } = lost;
        repairs.push({ availabilityZone, at, milliseconds: now() - at });
      }
      openRepairs = openRepairs.filter((lost) => !isServed(lost));
    },
  };
}
