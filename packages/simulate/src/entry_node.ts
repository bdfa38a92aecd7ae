/** A simulated entry process: a dispatcher that can be killed or frozen. */
import {
  createDispatcher,
  type DispatchEffect,
  type Dispatcher,
  type SessionId,
  type SubmissionId,
} from "@coltsfootreach/dispatch";
import { SAMPLE_REMOTE_FACTOR } from "@coltsfootreach/standin";
import type { SubmissionCaller } from "./fleet.ts";
import type { EntryNode, FleetStream } from "./fleet_state.ts";
import type { FleetParts } from "./fleet_streams.ts";

export function createEntryNode(
  index: number,
  { state, streams }: FleetParts,
): EntryNode {
  const { counter, nodes, options } = state;
  const { clock } = options;
  const sessions = new Map<SessionId, FleetStream>();
  const callers = new Map<SubmissionId, SubmissionCaller>();
  const scheduleEffects = nodes.createEffectScheduler(() => node, applyEffects);
  const node: EntryNode = {
    isUp: true,
    frozenUntil: 0,
    incarnation: 0,
    dispatcher: makeDispatcher(),
    sessions,
    scheduleEffects,
    submit(queue, job, caller) {
      if (!node.isUp) return undefined;
      const id = state.takeId();
      callers.set(id, caller);
      const submission = {
        id,
        job,
        queue,
        configurationVersion: 1,
        ageMs: caller.ageMs ?? 0,
      };
      nodes.runWhenUnfrozen(node, () => {
        node.dispatcher.submit(submission, clock.now());
        scheduleEffects();
      });
      return {
        abandon() {
          if (!callers.delete(id)) return;
          nodes.runWhenUnfrozen(node, () => {
            node.dispatcher.abandon(id, clock.now());
            scheduleEffects();
          });
        },
      };
    },
    kill(downMs) {
      if (!node.isUp) return;
      node.isUp = false;
      node.incarnation += 1;
      for (const stream of [...sessions.values()]) streams.close(stream);
      const broken = [...callers.values()];
      callers.clear();
      for (const caller of broken) caller.broken();
      clock.after(downMs, () => {
        node.isUp = true;
        node.frozenUntil = 0;
        node.dispatcher = makeDispatcher();
      });
    },
    liveJobs: () => node.dispatcher.liveJobs(),
  };

  function makeDispatcher(): Dispatcher {
    return createDispatcher({
      entry: `entry-${index}-${state.takeId()}`,
      timing: options.timing,
      remoteFactor: SAMPLE_REMOTE_FACTOR,
      lateReserve: options.lateReserve,
      random: options.random.next,
    });
  }

  function applyEffects(): void {
    for (const effect of node.dispatcher.takeEffects(clock.now())) {
      applyEffect(effect);
    }
  }

  function applyEffect(effect: DispatchEffect): void {
    if (effect.kind === "send") {
      counter.entrySent(effect.frame);
      sessions.get(effect.session)?.toSide.send(effect.frame);
    } else if (effect.kind === "close") {
      const stream = sessions.get(effect.session);
      if (stream !== undefined) streams.close(stream);
    } else if (effect.kind === "answer") {
      const caller = callers.get(effect.submission);
      callers.delete(effect.submission);
      caller?.answered(effect.answer);
    } else {
      options.trace(`entry ${index} ${JSON.stringify(effect.decision)}`);
    }
  }

  nodes.tickEvery(node, () => {
    node.dispatcher.tick(clock.now());
    scheduleEffects();
  });
  return node;
}
