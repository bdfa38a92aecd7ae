/** Stand-ins for the key-value service and for backend servers. */
export { type Cancel, type Clock, SYSTEM_CLOCK } from "./clock/clock.ts";
export { createFakeClock, type FakeClock } from "./clock/fake_clock.ts";
export type { KvFaultRequest, KvFaults } from "./kv/fault.ts";
export {
  createKvStandin,
  type KvStandin,
  type KvStandinOptions,
} from "./kv/kv_standin.ts";
export {
  createMemoryService,
  createMemoryStore,
  type MemoryStore,
  type MemoryStoreOptions,
} from "./kv/memory_store.ts";
export type { KvService } from "./kv/service.ts";
export type { BackendFaultRequest } from "./backend/backend_fault.ts";
export {
  type BackendStandin,
  type BackendStandinOptions,
  createBackendStandin,
} from "./backend/backend_standin.ts";
export type { StartRecord } from "./backend/task_log.ts";
export {
  createSideStandin,
  type SideStandin,
  type SideStandinOptions,
} from "./side/side_standin.ts";
export {
  SAMPLE_BOUNDS,
  SAMPLE_REMOTE_FACTOR,
  SAMPLE_TIMING,
  sampleAnnouncement,
  sampleQueue,
  sampleReport,
  sampleStep,
} from "./run/samples.ts";
