/** Counts the messages of a simulated fleet by kind. */
import type { DispatchFrame, WorkFrame } from "@coltsfootreach/run";

/** Number of messages sent, by kind. */
export interface Traffic {
  /** Frames from entries with offers or stops. */
  entryWork: number;
  /** Frames from entries without offers and stops. */
  entryHeartbeats: number;
  /** Frames from sides with news of runs, with only a report, or with neither. */
  sideNews: number;
  sideReports: number;
  sideHeartbeats: number;
  lists: number;
}

export interface TrafficCounter {
  readonly traffic: Readonly<Traffic>;
  entrySent(frame: DispatchFrame): void;
  sideSent(frame: WorkFrame): void;
  listed(): void;
}

export function createTrafficCounter(): TrafficCounter {
  const traffic: Traffic = {
    entryWork: 0,
    entryHeartbeats: 0,
    sideNews: 0,
    sideReports: 0,
    sideHeartbeats: 0,
    lists: 0,
  };
  return {
    traffic,
    entrySent(frame) {
      const isWork = frame.offers.length > 0 || frame.stops.length > 0;
      if (isWork) traffic.entryWork += 1;
      else traffic.entryHeartbeats += 1;
    },
    sideSent(frame) {
      if (frame.news.length > 0) traffic.sideNews += 1;
      else if ("server" in frame) traffic.sideReports += 1;
      else traffic.sideHeartbeats += 1;
    },
    listed() {
      traffic.lists += 1;
    },
  };
}
