/**
 * Rendezvous hashing: each key belongs to the member with the highest score
 * for it, so a change of one member moves only that member's keys.
 */
import murmurhash from "murmurhash";
import type { JobId, Member, Table } from "@coltsfootreach/types";

/** The member that owns a job under a table; undefined in an empty table. */
export function ownerOf(table: Table, job: JobId): Member | undefined {
  let owner: Member | undefined;
  let highest = -1;
  const keyHash = murmurhash.v3(job);
  for (const member of table.members) {
    if (member.draining) continue;
    const score = murmurhash.v3(member.incarnation, keyHash);
    if (score > highest) {
      highest = score;
      owner = member;
    }
  }
  return owner;
}

export function isMember(table: Table, incarnation: string): boolean {
  return table.members.some((member) => member.incarnation === incarnation);
}

/** The smallest number of members that every other majority overlaps. */
export function majorityOf(members: number): number {
  return Math.floor(members / 2) + 1;
}
