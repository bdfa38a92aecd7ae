/** Streams that simulated sides open to entries, and open again once they break. */
import type { DispatchFrame, WorkFrame } from "@coltsfootreach/run";
import { createChannel } from "./channel.ts";
import type { FleetState, FleetStream } from "./fleet_state.ts";

const REDIAL_DELAY_MS = 100;

export interface FleetStreams {
  /** Opens a stream unless there is one; retries until both ends are up. */
  dial(entry: number, side: number): void;
  /** Closes a stream; each end is notified once it is not frozen. */
  close(stream: FleetStream): void;
}

/** What the nodes of a fleet are built with. */
export interface FleetParts {
  readonly state: FleetState;
  readonly streams: FleetStreams;
}

export function createFleetStreams(state: FleetState): FleetStreams {
  const { entries, nodes, sides } = state;
  const { clock, random } = state.options;

  function dial(entry: number, side: number): void {
    const entryNode = entries[entry]!;
    const sideNode = sides[side]!;
    if (!sideNode.isUp) return;
    if (sideNode.owners.size > 0) {
      for (const stream of sideNode.owners.values()) {
        if (stream.entry === entry) return;
      }
    }
    if (!entryNode.isUp || state.networkPath(entry, side, true).isPartitioned) {
      clock.after(REDIAL_DELAY_MS, () => dial(entry, side));
      return;
    }
    const id = state.takeId();
    const stream: FleetStream = {
      entry,
      side,
      session: id,
      owner: id,
      isClosed: false,
      toSide: createChannel<DispatchFrame>({
        clock,
        path: state.networkPath(entry, side, true),
        delayMs: () => 0.3 + random.next(),
        canReceive: () => nodes.canRun(sideNode),
        received(frame) {
          sideNode.core.ownerSent(id, frame, clock.now());
          sideNode.scheduleEffects();
        },
      }),
      toEntry: createChannel<WorkFrame>({
        clock,
        path: state.networkPath(entry, side, false),
        delayMs: () => 0.3 + random.next(),
        canReceive: () => nodes.canRun(entryNode),
        received(frame) {
          entryNode.dispatcher.frameReceived(id, frame, clock.now());
          entryNode.scheduleEffects();
        },
      }),
    };
    entryNode.sessions.set(id, stream);
    sideNode.owners.set(id, stream);
    entryNode.dispatcher.sessionOpened(id, clock.now());
    sideNode.core.ownerOpened(id, clock.now());
    sideNode.scheduleEffects();
  }

  /** Closes a stream; each end is notified once it is not frozen. */
  function close(stream: FleetStream): void {
    if (stream.isClosed) return;
    stream.isClosed = true;
    stream.toSide.close();
    stream.toEntry.close();
    const entryNode = entries[stream.entry]!;
    const sideNode = sides[stream.side]!;
    entryNode.sessions.delete(stream.session);
    sideNode.owners.delete(stream.owner);
    const { dispatcher } = entryNode;
    const { core } = sideNode;
    clock.after(0.5, () => {
      nodes.runWhenUnfrozen(entryNode, () => {
        dispatcher.sessionClosed(stream.session, clock.now());
        entryNode.scheduleEffects();
      });
      nodes.runWhenUnfrozen(sideNode, () => {
        core.ownerClosed(stream.owner, clock.now());
        sideNode.scheduleEffects();
      });
    });
    clock.after(REDIAL_DELAY_MS, () => dial(stream.entry, stream.side));
  }

  return { dial, close };
}
