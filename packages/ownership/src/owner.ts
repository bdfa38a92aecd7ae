/**
 * Rendezvous hashing: each key belongs to the member with the highest score
 * for it, so a change of one member moves only that member's keys.
 */
import murmurhash from "murmurhash";
import type { JobId, Member, Table } from "@coltsfootreach/types";

/** Hashes of members; a table's members are looked at for every key. */
const memberHashes = new WeakMap<Member, number>();

function hashOf(member: Member): number {
  const known = memberHashes.get(member);
  if (known !== undefined) return known;
  const hash = murmurhash.v3(member.incarnation);
  memberHashes.set(member, hash);
  return hash;
}

/** The last steps of MurmurHash3, which spread every bit over all others. */
function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The member that owns a job under a table; undefined in an empty table. */
export function ownerOf(table: Table, job: JobId): Member | undefined {
  let owner: Member | undefined;
  let highest = -1;
  const keyHash = murmurhash.v3(job);
  for (const member of table.members) {
    if (member.draining) continue;
    const score = mix(hashOf(member) ^ keyHash);
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
