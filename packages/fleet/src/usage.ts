/** What a process has used so far, as the kernel counts it. */
import { readFileSync } from "node:fs";

/** Length of the kernel's clock tick in processor times. */
const TICK_MS = 10;

/** Fields of `/proc/PID/stat` after the name of the program. */
const USER_TICKS_FIELD = 11;

const SYSTEM_TICKS_FIELD = 12;

const BYTES_PER_KB = 1024;

export interface Usage {
  /** Processor time of all threads in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory in bytes. */
  readonly residentBytes: number;
  /** Bytes read and written, of which nearly all go through sockets. */
  readonly movedBytes: number;
}

export function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_FIELD]) +
    Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    cpuMs: ticks * TICK_MS,
    residentBytes: fieldOf(pid, "status", "VmRSS") * BYTES_PER_KB,
    movedBytes: fieldOf(pid, "io", "rchar") + fieldOf(pid, "io", "wchar"),
  };
}

function fieldOf(pid: number, file: string, name: string): number {
  const text = readFileSync(`/proc/${pid}/${file}`, "utf8");
  return Number(new RegExp(`^${name}:\\s*(\\d+)`, "m").exec(text)?.[1]);
}
