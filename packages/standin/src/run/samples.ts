/** Made-up queues, steps and reports; a test states what matters to it. */
import type { Queue, ServerReport, Step } from "@coltsfootreach/run";

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
    needsAdvice: false,
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
