/** Made-up queues, steps and reports; a test states what matters to it. */
import {
  type Announcement,
  deriveTiming,
  type Queue,
  type ServerReport,
  type Step,
  type Timing,
  type TimingBounds,
} from "@coltsfootreach/run";

/** What stand-ins of callers and backend servers keep to. */
export const SAMPLE_BOUNDS: TimingBounds = {
  resendMs: 1300,
  maxLeaseMs: 1000,
  stopMs: 50,
};

export const SAMPLE_TIMING: Timing = deriveTiming(SAMPLE_BOUNDS)
  ._unsafeUnwrap();

/** A task takes this much longer away from the rack with its data. */
export const SAMPLE_REMOTE_FACTOR = 1.5;

export function sampleQueue(more: Partial<Queue> = {}): Queue {
  return {
    name: "short",
    hostname: "jobs.example",
    prefix: "/short/",
    service: "pool",
    priority: 0,
    attempts: 2,
    slackFactor: 1.6,
    extraMs: 60,
    isPermitRequired: false,
    ...more,
  };
}

export function sampleStep(more: Partial<Step> = {}): Step {
  return {
    count: 1,
    resources: { cpu: 1000, memoryMb: 10, gpu: 0 },
    estimateMs: 100,
    after: [],
    rack: "",
    requiredLabel: "",
    maxPerServer: 0,
    isGang: false,
    ...more,
  };
}

/** An open server of four cores with nothing to do. */
export function sampleReport(more: Partial<ServerReport> = {}): ServerReport {
  const resources = { cpu: 4000, memoryMb: 1000, gpu: 0 };
  return {
    id: "s1",
    born: 1,
    service: "pool",
    capacity: resources,
    labels: ["a"],
    room: resources,
    isOpen: true,
    slowness: 1,
    isSuspect: false,
    ...more,
  };
}

/** Announcement of a server of four cores. */
export function sampleAnnouncement(
  more: Partial<Announcement> = {},
): Announcement {
  return {
    id: "server",
    born: 77,
    service: "pool",
    address: "here:1",
    dataCentre: "a",
    capacity: { cpu: 4000, memoryMb: 1000, gpu: 0 },
    labels: ["a"],
    isDraining: false,
    remainingMs: 0,
    sequence: 1,
    ...more,
  };
}
