/** The worlds that are explored, each around one part of the protocol. */
import type { Action } from "./action.ts";
import type { World } from "./world.ts";

const STEP: Action = { type: "wait", ms: 1 };
const SECOND: Action = { type: "wait", ms: 1000 };
const LONG: Action = { type: "wait", ms: 2500 };

const JOB = [{ name: "J", tasks: 2, owner: "A" }];

const submit = (at: string): Action => ({ type: "submit", job: "J", at });

const FOUR_JOBS = ["J", "K", "L", "M"];

const SETUP = {
  entries: ["A", "B"],
  sides: ["s1", "s2"],
  slots: 1,
  runMs: 600,
} as const;

/** The owner of a job dies, pauses, or loses its lease. */
export const LOST_OWNER: World = {
  name: "lost owner",
  options: SETUP,
  jobs: JOB,
  before: [],
  actions: [
    STEP,
    SECOND,
    LONG,
    submit("A"),
    submit("B"),
    { type: "killEntry", at: "A" },
    { type: "startEntry", at: "A" },
    { type: "pause", at: "A" },
    { type: "resume", at: "A" },
    { type: "lapse", at: "A" },
    { type: "cutStore", at: "A" },
  ],
  depth: 6,
  faults: 2,
};

/** The owner is cut off from its sides or from the other entry. */
export const PARTITION: World = {
  name: "partition",
  options: SETUP,
  jobs: JOB,
  before: [submit("A")],
  actions: [
    STEP,
    SECOND,
    LONG,
    submit("B"),
    { type: "cut", a: "A", b: "s1" },
    { type: "cut", a: "B", b: "s1" },
    { type: "heal", a: "B", b: "s1" },
    { type: "cut", a: "A", b: "B" },
    { type: "cutStore", at: "A" },
    { type: "killEntry", at: "A" },
    { type: "storeOut" },
    { type: "storeBack" },
  ],
  depth: 6,
  faults: 3,
};

/** Sides die, leave, pause and come back, and an entry is lost besides. */
export const LOST_SIDE: World = {
  name: "lost side",
  options: SETUP,
  jobs: JOB,
  before: [submit("A"), { type: "wait", ms: 5 }],
  actions: [
    SECOND,
    LONG,
    submit("B"),
    { type: "killSide", at: "s1" },
    { type: "startSide", at: "s1" },
    { type: "drainSide", at: "s1" },
    { type: "pause", at: "s1" },
    { type: "resume", at: "s1" },
    { type: "killEntry", at: "A" },
    { type: "drainEntry", at: "A" },
  ],
  depth: 6,
  faults: 3,
};

/** Frames are late, repeated, or out of order between streams. */
export const LATE_FRAMES: World = {
  name: "late frames",
  options: { ...SETUP, limits: { queuePerSlot: 0 } },
  jobs: JOB,
  before: [],
  actions: [
    STEP,
    SECOND,
    LONG,
    submit("A"),
    { type: "hold", a: "A", b: "s1" },
    { type: "release", a: "A", b: "s1", reversed: false },
    { type: "release", a: "A", b: "s1", reversed: true },
    { type: "repeatFrame", a: "A", b: "s1" },
    { type: "repeatFrame", a: "s1", b: "A" },
    { type: "breakStreams", a: "A", b: "s1" },
    { type: "silence", a: "A", b: "s1" },
    { type: "killSide", at: "s1" },
    { type: "startSide", at: "s1" },
  ],
  depth: 6,
  faults: 3,
};

/** The store is out, slow, or loses answers while entries come and go. */
export const STORE: World = {
  name: "store",
  options: SETUP,
  jobs: JOB,
  before: [],
  actions: [
    SECOND,
    LONG,
    submit("A"),
    submit("B"),
    { type: "storeOut" },
    { type: "storeBack" },
    { type: "loseAnswer" },
    { type: "holdWatch", at: "B" },
    { type: "releaseWatches" },
    { type: "startEntry", at: "C" },
    { type: "drainEntry", at: "A" },
    { type: "killEntry", at: "A" },
  ],
  depth: 6,
  faults: 3,
};

/** Starts wait on the sides while their owner changes. */
export const CROWDED: World = {
  name: "crowded sides",
  options: { ...SETUP, runMs: 1500, limits: { queuePerSlot: 3 } },
  jobs: FOUR_JOBS.map((name, at) => ({
    name,
    tasks: 2,
    owner: at % 2 === 0 ? "A" : "B",
  })),
  // Both entries place at once, so neither knows what the other has sent.
  before: [
    ...FOUR_JOBS.map((job, at): Action => ({
      type: "submit",
      job,
      at: at % 2 === 0 ? "A" : "B",
    })),
    STEP,
    STEP,
  ],
  actions: [
    STEP,
    SECOND,
    LONG,
    { type: "killEntry", at: "A" },
    { type: "drainEntry", at: "A" },
    { type: "startEntry", at: "C" },
    { type: "drainSide", at: "s1" },
  ],
  depth: 5,
  faults: 3,
};

/** A start is on its way to a side when its sender loses the job. */
export const FENCE: World = {
  name: "late start",
  options: SETUP,
  jobs: [{ name: "J", tasks: 1, owner: "A" }],
  before: [],
  actions: [
    STEP,
    { type: "wait", ms: 200 },
    submit("A"),
    submit("B"),
    { type: "hold", a: "A", b: "s1" },
    { type: "hold", a: "A", b: "s2" },
    { type: "release", a: "A", b: "s1", reversed: false },
    { type: "release", a: "A", b: "s2", reversed: false },
    { type: "lapse", at: "A" },
    { type: "startEntry", at: "C" },
  ],
  depth: 6,
  faults: 3,
};

/** The entry that takes over cannot reach one of the sides. */
export const UNHEARD_SIDE: World = {
  name: "unheard side",
  options: SETUP,
  jobs: JOB,
  before: [submit("A"), { type: "wait", ms: 5 }],
  actions: [
    SECOND,
    LONG,
    submit("B"),
    { type: "cut", a: "B", b: "s1" },
    { type: "heal", a: "B", b: "s1" },
    { type: "killEntry", at: "A" },
    { type: "pause", at: "A" },
    { type: "resume", at: "A" },
    { type: "startEntry", at: "A" },
  ],
  depth: 6,
  faults: 2,
};

/** An owner that was removed is alive, and one side listens to it alone. */
export const ISOLATED_OWNER: World = {
  name: "isolated owner",
  options: SETUP,
  jobs: JOB,
  before: [
    { type: "cut", a: "A", b: "B" },
    { type: "cut", a: "B", b: "s1" },
    { type: "cutStore", at: "A" },
  ],
  actions: [
    STEP,
    LONG,
    submit("A"),
    submit("B"),
    { type: "healStore", at: "A" },
  ],
  depth: 6,
  faults: 1,
};

/** What a watch reports of the table is late. */
export const LATE_TABLE: World = {
  name: "late table",
  options: SETUP,
  jobs: JOB,
  before: [
    { type: "holdWatch", at: "B" },
    { type: "startEntry", at: "C" },
    SECOND,
  ],
  actions: [
    SECOND,
    LONG,
    submit("A"),
    submit("B"),
    { type: "drainEntry", at: "A" },
    { type: "killEntry", at: "A" },
    { type: "releaseWatches" },
  ],
  depth: 5,
  faults: 2,
};

/** A backend server refuses, so a task moves on to another side. */
export const REFUSED_START: World = {
  name: "refused start",
  options: SETUP,
  jobs: [{ name: "J", tasks: 1, owner: "A" }],
  before: [submit("A")],
  actions: [
    { type: "wait", ms: 5 },
    SECOND,
    { type: "serverDown", at: "s1" },
    { type: "serverUp", at: "s1" },
    { type: "repeatFrame", a: "A", b: "s1" },
    { type: "repeatFrame", a: "s1", b: "A" },
    { type: "breakStreams", a: "A", b: "s1" },
  ],
  depth: 5,
  faults: 3,
};

/** A side comes up that one entry cannot reach. */
export const NEW_SIDE: World = {
  name: "new side",
  options: {
    ...SETUP,
    entries: ["A", "B", "C"],
    spareSides: ["s3"],
    slots: 4,
  },
  jobs: FOUR_JOBS.map((name) => ({ name, tasks: 2, owner: "A" })),
  before: [
    { type: "cut", a: "B", b: "s3" },
    { type: "startSide", at: "s3" },
    SECOND,
    ...FOUR_JOBS.map((job): Action => ({ type: "submit", job, at: "A" })),
    { type: "wait", ms: 5 },
    { type: "killEntry", at: "C" },
  ],
  actions: [
    SECOND,
    LONG,
    submit("B"),
    { type: "killEntry", at: "A" },
    { type: "heal", a: "B", b: "s3" },
  ],
  depth: 4,
  faults: 2,
};

/** An entry joins or leaves while another one is being replaced. */
export const CHANGING_OWNERS: World = {
  name: "changing owners",
  options: SETUP,
  jobs: [{ name: "J", tasks: 2, owner: "A" }, {
    name: "K",
    tasks: 2,
    owner: "A",
  }],
  before: [
    submit("A"),
    { type: "submit", job: "K", at: "A" },
    { type: "wait", ms: 5 },
  ],
  actions: [
    { type: "wait", ms: 50 },
    SECOND,
    LONG,
    submit("B"),
    { type: "lapse", at: "A" },
    { type: "killEntry", at: "A" },
    { type: "startEntry", at: "A" },
    { type: "startEntry", at: "C" },
    { type: "drainEntry", at: "B" },
    { type: "hold", a: "B", b: "s1" },
    { type: "release", a: "B", b: "s1", reversed: false },
  ],
  depth: 6,
  faults: 4,
};

/** A new entry gets keys whose evidence its neighbour is waiting for. */
export const UNPROVEN_KEYS: World = {
  name: "unproven keys",
  options: { ...SETUP, slots: 4 },
  jobs: FOUR_JOBS.map((name) => ({ name, tasks: 2, owner: "A" })),
  before: [
    ...FOUR_JOBS.map((job): Action => ({ type: "submit", job, at: "A" })),
    { type: "wait", ms: 5 },
    { type: "cut", a: "B", b: "s1" },
  ],
  actions: [
    SECOND,
    LONG,
    { type: "killEntry", at: "A" },
    { type: "startEntry", at: "C" },
    { type: "heal", a: "B", b: "s1" },
  ],
  depth: 5,
  faults: 2,
};

/** Three entries, of which two may go, with one side cut off from one. */
export const THREE_ENTRIES: World = {
  name: "three entries",
  options: { ...SETUP, entries: ["A", "B", "C"] },
  jobs: JOB,
  before: [submit("A"), { type: "wait", ms: 3 }],
  actions: [
    SECOND,
    LONG,
    submit("B"),
    submit("C"),
    { type: "killEntry", at: "A" },
    { type: "killEntry", at: "B" },
    { type: "drainEntry", at: "C" },
    { type: "cut", a: "B", b: "s1" },
    { type: "cut", a: "C", b: "s1" },
    { type: "heal", a: "B", b: "s1" },
    { type: "killSide", at: "s2" },
  ],
  depth: 5,
  faults: 3,
};

/** A job is cancelled while its messages are late or its owner is lost. */
export const CANCEL: World = {
  name: "cancel",
  options: SETUP,
  jobs: [{ name: "J", tasks: 3, owner: "A" }],
  before: [submit("A")],
  actions: [
    STEP,
    SECOND,
    LONG,
    { type: "cancel", job: "J", at: "A" },
    { type: "cancel", job: "J", at: "B" },
    { type: "hold", a: "A", b: "s1" },
    { type: "release", a: "A", b: "s1", reversed: false },
    { type: "breakStreams", a: "A", b: "s1" },
    { type: "silence", a: "A", b: "s1" },
    { type: "killEntry", at: "A" },
    submit("B"),
  ],
  depth: 6,
  faults: 3,
};

export const WORLDS: readonly World[] = [
  LOST_OWNER,
  PARTITION,
  LOST_SIDE,
  LATE_FRAMES,
  STORE,
  CROWDED,
  FENCE,
  UNHEARD_SIDE,
  ISOLATED_OWNER,
  LATE_TABLE,
  REFUSED_START,
  NEW_SIDE,
  CHANGING_OWNERS,
  UNPROVEN_KEYS,
  THREE_ENTRIES,
  CANCEL,
];
