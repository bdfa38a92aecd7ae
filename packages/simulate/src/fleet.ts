/** Simulated entries, sides and backend servers, and the streams between them. */
import type { Answer, LateReserve } from "@coltsfootreach/dispatch";
import type {
  Job,
  Queue,
  Resources,
  RunRef,
  Timing,
} from "@coltsfootreach/run";
import type { NetworkPath } from "./channel.ts";
import type { Checker } from "./checker.ts";
import type { SimulatedClock } from "./clock.ts";
import { createEntryNode } from "./entry_node.ts";
import { createFleetState } from "./fleet_state.ts";
import { createFleetStreams } from "./fleet_streams.ts";
import type { Random } from "./random.ts";
import type { ServerStandin, TaskProfile } from "./server_standin.ts";
import { createSideNode } from "./side_node.ts";
import type { Traffic } from "./traffic.ts";

export interface FleetOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly checker: Checker;
  readonly timing: Timing;
  readonly entries: number;
  readonly sides: number;
  readonly capacity: Resources;
  /** Ratio of run time to work; servers are assigned the values in turn. */
  readonly slowness: readonly number[];
  /** Default: the dispatcher's own. */
  readonly lateReserve?: LateReserve | undefined;
  profileOf(ref: RunRef): TaskProfile;
  trace(what: string): void;
}

export interface SubmissionHandle {
  /** The caller disconnects. */
  abandon(): void;
}

/** The caller's end of a submission. */
export interface SubmissionCaller {
  /** How long the caller waited before; default 0. */
  readonly ageMs?: number | undefined;
  answered(answer: Answer): void;
  /** The connection to the entry broke. */
  broken(): void;
}

export interface SimulatedEntry {
  isUp: boolean;
  frozenUntil: number;
  /** Returns undefined if the entry is down. */
  submit(
    queue: Queue,
    job: Job,
    caller: SubmissionCaller,
  ): SubmissionHandle | undefined;
  kill(downMs: number): void;
  liveJobs(): number;
}

/** How a server ends that drains first. */
export interface DrainTimes {
  /** From the draining announcement to the leave notice. */
  readonly leaveMs: number;
  /** From the leave notice to the end. */
  readonly lingerMs: number;
}

export interface SimulatedSide {
  isUp: boolean;
  frozenUntil: number;
  /** Share of the side's requests to its server that get no response. */
  responseLossRate: number;
  /** Share of the starts and stops that get no response and execute late. */
  orderLossRate: number;
  server(): ServerStandin;
  /** Whether the side told entries that its server accepts runs. */
  isServerOpen(): boolean;
  kill(downMs: number): void;
  crashServer(downMs: number): void;
  /** The server announces that it is draining, leaves, and then ends. */
  drainServer(times: DrainTimes): void;
  /** Sends a leave notice of an earlier life under the server's id. */
  sendStaleLeaveNotice(): void;
}

export interface Fleet {
  readonly traffic: Readonly<Traffic>;
  readonly entries: readonly SimulatedEntry[];
  readonly sides: readonly SimulatedSide[];
  /** The network path between an entry and a side in one direction. */
  networkPath(entry: number, side: number, toSide: boolean): NetworkPath;
  resetStream(entry: number, side: number): void;
}

export function createFleet(options: FleetOptions): Fleet {
  const state = createFleetState(options);
  const streams = createFleetStreams(state);
  const { entries, sides } = state;
  for (let index = 0; index < options.entries; index += 1) {
    entries.push(createEntryNode(index, { state, streams }));
  }
  for (let index = 0; index < options.sides; index += 1) {
    sides.push(createSideNode(index, { state, streams }));
  }
  for (let entry = 0; entry < options.entries; entry += 1) {
    for (let side = 0; side < options.sides; side += 1) {
      streams.dial(entry, side);
    }
  }

  return {
    traffic: state.counter.traffic,
    entries,
    sides,
    networkPath: state.networkPath,
    resetStream(entry, side) {
      for (const stream of sides[side]!.owners.values()) {
        if (stream.entry === entry) {
          streams.close(stream);
          return;
        }
      }
    },
  };
}
