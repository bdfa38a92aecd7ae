/** State and collaborators that the parts of a simulated fleet share. */
import type { Dispatcher, SessionId } from "@coltsfootreach/dispatch";
import type { DispatchFrame, WorkFrame } from "@coltsfootreach/run";
import type { OwnerId, WorkerCore } from "@coltsfootreach/worker";
import type { Channel, NetworkPath } from "./channel.ts";
import type { FleetOptions, SimulatedEntry, SimulatedSide } from "./fleet.ts";
import { createNodes, type Node, type Nodes } from "./node.ts";
import { createTrafficCounter, type TrafficCounter } from "./traffic.ts";

export interface EntryNode extends SimulatedEntry, Node {
  dispatcher: Dispatcher;
  readonly sessions: Map<SessionId, FleetStream>;
  scheduleEffects(): void;
}

export interface SideNode extends SimulatedSide, Node {
  core: WorkerCore;
  readonly owners: Map<OwnerId, FleetStream>;
  scheduleEffects(): void;
}

/** A stream between an entry and a side. */
export interface FleetStream {
  readonly entry: number;
  readonly side: number;
  readonly session: SessionId;
  readonly owner: OwnerId;
  readonly toSide: Channel<DispatchFrame>;
  readonly toEntry: Channel<WorkFrame>;
  isClosed: boolean;
}

export interface FleetState {
  readonly options: FleetOptions;
  readonly nodes: Nodes;
  readonly counter: TrafficCounter;
  readonly entries: EntryNode[];
  readonly sides: SideNode[];
  /** Returns a number that was not returned before. */
  takeId(): number;
  /** The network path between an entry and a side in one direction. */
  networkPath(entry: number, side: number, toSide: boolean): NetworkPath;
}

export function createFleetState(options: FleetOptions): FleetState {
  const networkPaths = new Map<string, NetworkPath>();
  let lastId = 0;
  return {
    options,
    nodes: createNodes(options.clock),
    counter: createTrafficCounter(),
    entries: [],
    sides: [],
    takeId() {
      lastId += 1;
      return lastId;
    },
    networkPath(entry, side, toSide) {
      const key = `${entry}/${side}/${toSide}`;
      const path = networkPaths.get(key) ?? { isPartitioned: false };
      networkPaths.set(key, path);
      return path;
    },
  };
}
