/**
 * What may happen to the modelled system: time passes, callers ask, and things
 * fail. An action is an event in the sense of the state graph.
 */
import type { Harness } from "@coltsfootreach/scenario";

export type Action =
  | { readonly type: "wait"; readonly ms: number }
  | { readonly type: "submit"; readonly job: string; readonly at: string }
  | { readonly type: "cancel"; readonly job: string; readonly at: string }
  | { readonly type: "killEntry"; readonly at: string }
  | { readonly type: "killSide"; readonly at: string }
  | { readonly type: "startEntry"; readonly at: string }
  | { readonly type: "startSide"; readonly at: string }
  | { readonly type: "drainEntry"; readonly at: string }
  | { readonly type: "drainSide"; readonly at: string }
  | { readonly type: "pause"; readonly at: string }
  | { readonly type: "resume"; readonly at: string }
  | { readonly type: "cut"; readonly a: string; readonly b: string }
  | { readonly type: "silence"; readonly a: string; readonly b: string }
  | { readonly type: "breakStreams"; readonly a: string; readonly b: string }
  | { readonly type: "hold"; readonly a: string; readonly b: string }
  | {
    readonly type: "release";
    readonly a: string;
    readonly b: string;
    readonly reversed: boolean;
  }
  | { readonly type: "heal"; readonly a: string; readonly b: string }
  | { readonly type: "repeatFrame"; readonly a: string; readonly b: string }
  | { readonly type: "storeOut" }
  | { readonly type: "storeBack" }
  | { readonly type: "loseAnswer" }
  | { readonly type: "cutStore"; readonly at: string }
  | { readonly type: "healStore"; readonly at: string }
  | { readonly type: "lapse"; readonly at: string }
  | { readonly type: "holdWatch"; readonly at: string }
  | { readonly type: "releaseWatches" }
  | { readonly type: "serverDown"; readonly at: string }
  | { readonly type: "serverUp"; readonly at: string };

/** Says what an action does, in a few words. */
export function describeAction(action: Action): string {
  const { type, ...rest } = action;
  return [type, ...Object.values(rest)].join(" ");
}

/** Actions that cost one of the faults that a run is allowed. */
export function isFault({ type }: Action): boolean {
  const free: readonly Action["type"][] = [
    "wait",
    "submit",
    "resume",
    "release",
    "heal",
    "storeBack",
    "healStore",
    "releaseWatches",
    "serverUp",
  ];
  return !free.includes(type);
}

/** True when the action would change something. */
export function isPossible(harness: Harness, action: Action): boolean {
  const { network, store } = harness;
  switch (action.type) {
    case "submit":
    case "cancel":
    case "killEntry":
    case "drainEntry":
    case "lapse":
    case "cutStore":
      return harness.entry(action.at) !== undefined;
    case "killSide":
    case "drainSide":
      return harness.side(action.at) !== undefined;
    case "startEntry":
      return harness.entry(action.at) === undefined;
    case "startSide":
      return harness.side(action.at) === undefined;
    case "pause":
      return hostOf(harness, action.at)?.isPaused() === false;
    case "resume":
      return hostOf(harness, action.at)?.isPaused() === true;
    case "cut":
    case "silence":
    case "breakStreams":
      return !network.isCut(action.a, action.b);
    case "hold":
      return !network.isHeld(action.a, action.b);
    case "release":
      return network.isHeld(action.a, action.b);
    case "heal":
      return network.isCut(action.a, action.b);
    case "storeOut":
      return !store.isOut();
    case "storeBack":
      return store.isOut();
    case "wait":
    case "repeatFrame":
    case "loseAnswer":
    case "healStore":
    case "holdWatch":
    case "releaseWatches":
    case "serverDown":
    case "serverUp":
      return true;
  }
}

export function perform(harness: Harness, action: Action): void {
  const { network, store } = harness;
  if (action.type !== "wait") harness.note(describeAction(action));
  switch (action.type) {
    case "wait":
      return harness.advance(action.ms);
    case "submit":
      return harness.submit(action.job, action.at);
    case "cancel":
      return harness.cancel(action.job, action.at);
    case "killEntry":
      return harness.killEntry(action.at);
    case "killSide":
      return harness.killSide(action.at);
    case "startEntry":
      return harness.startEntry(action.at);
    case "startSide":
      return harness.startSide(action.at);
    case "drainEntry":
      return harness.drainEntry(action.at);
    case "drainSide":
      return harness.drainSide(action.at);
    case "pause":
      return hostOf(harness, action.at)?.pause();
    case "resume":
      return hostOf(harness, action.at)?.resume();
    case "cut":
      return network.cut(action.a, action.b);
    case "silence":
      return network.silence(action.a, action.b);
    case "breakStreams":
      return network.breakStreams(action.a, action.b);
    case "hold":
      return network.hold(action.a, action.b);
    case "release":
      return network.release(action.a, action.b, action.reversed);
    case "heal":
      return network.heal(action.a, action.b);
    case "repeatFrame":
      network.repeatLast(action.a, action.b);
      return;
    case "storeOut":
      return store.setOut(true);
    case "storeBack":
      return store.setOut(false);
    case "loseAnswer":
      return store.loseNextAnswer();
    case "cutStore":
      return store.setReachable(action.at, false);
    case "healStore":
      return store.setReachable(action.at, true);
    case "lapse":
      return store.lapse(harness.entry(action.at)!.incarnation());
    case "holdWatch":
      return store.holdWatches(action.at);
    case "releaseWatches":
      return store.releaseWatches();
    case "serverDown":
      return harness.server(action.at).setMode("down");
    case "serverUp":
      return harness.server(action.at).setMode("up");
  }
}

function hostOf(harness: Harness, name: string) {
  return (harness.entry(name) ?? harness.side(name))?.host;
}
