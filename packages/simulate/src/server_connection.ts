/**
 * The connection between a side and its backend server. Requests may be lost or
 * executed late, and responses may be lost after the request was executed.
 */
import type { WorkerCore, WorkerEffect } from "@coltsfootreach/worker";
import type { SimulatedClock } from "./clock.ts";
import type { Node, Nodes } from "./node.ts";
import type { Random } from "./random.ts";
import type { ServerStandin } from "./server_standin.ts";

const REQUEST_TIMEOUT_MS = 60;

const LIST_TIMEOUT_MS = 50;

/** A request without a response may be executed up to this much later. */
const MAX_REQUEST_DELAY_MS = 8000;

/** The side that sends the requests. */
export interface ConnectedSide extends Node {
  readonly core: WorkerCore;
  /** Share of the side's requests that get no response. */
  readonly responseLossRate: number;
  /** Share of the starts and stops that get no response and execute late. */
  readonly orderLossRate: number;
  server(): ServerStandin;
}

export interface ServerConnectionOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly runWhenUnfrozen: Nodes["runWhenUnfrozen"];
  node(): ConnectedSide;
  scheduleEffects(): void;
}

type ServerRequest = Extract<WorkerEffect, { kind: "start" | "stop" | "list" }>;

export interface ServerConnection {
  send(effect: ServerRequest): void;
}

export function createServerConnection(
  options: ServerConnectionOptions,
): ServerConnection {
  const { clock, random, runWhenUnfrozen, scheduleEffects } = options;

  function send(effect: ServerRequest): void {
    const node = options.node();
    if (effect.kind === "start") {
      const { request } = effect;
      call((target) => target.start(request), REQUEST_TIMEOUT_MS, {
        lost: { kind: "unanswered" },
        reply: (reply) =>
          node.core.startReplied(request.ref, reply, clock.now()),
      });
    } else if (effect.kind === "stop") {
      const { request } = effect;
      call((target) => target.stop(request), REQUEST_TIMEOUT_MS, {
        lost: { isConfirmed: false },
        reply: (reply) =>
          node.core.stopReplied(request.ref, reply, clock.now()),
      });
    } else {
      callList(effect);
    }
  }

  /** Sends a request that may be executed late, or whose response may be lost. */
  function call<Reply>(
    execute: (target: ServerStandin) => Reply,
    timeoutMs: number,
    handlers: { readonly lost: Reply; reply(reply: Reply): void },
  ): void {
    const node = options.node();
    const target = node.server();
    const incarnation = node.incarnation;
    const answer = (reply: Reply) =>
      clock.after(random.next(), () => {
        if (node.incarnation !== incarnation) return;
        runWhenUnfrozen(node, () => {
          handlers.reply(reply);
          scheduleEffects();
        });
      });
    const isOrderLost = random.chance(node.orderLossRate);
    if (isOrderLost || random.chance(node.responseLossRate)) {
      const lateMs = 2000 + random.next() * (MAX_REQUEST_DELAY_MS - 2000);
      const isLate = isOrderLost || random.chance(0.5);
      clock.after(isLate ? lateMs : 1, () => {
        if (target.isUp()) execute(target);
      });
      clock.after(timeoutMs, () => answer(handlers.lost));
      return;
    }
    clock.after(random.next(), () => {
      if (target.isUp()) answer(execute(target));
      else clock.after(timeoutMs, () => answer(handlers.lost));
    });
  }

  function callList(
    { request }: Extract<WorkerEffect, { kind: "list" }>,
  ): void {
    const node = options.node();
    const target = node.server();
    const calledIn = node.incarnation;
    let isAnswered = false;
    const reply = (answer: Parameters<WorkerCore["listReplied"]>[1]) => {
      if (isAnswered || node.incarnation !== calledIn) return;
      isAnswered = true;
      runWhenUnfrozen(node, () => {
        node.core.listReplied(request, answer, clock.now());
        scheduleEffects();
      });
    };
    clock.after(
      request.waitMs + LIST_TIMEOUT_MS,
      () => reply({ kind: "unanswered" }),
    );
    if (random.chance(node.responseLossRate)) return;
    clock.after(
      random.next(),
      () =>
        target.list(
          request,
          (answer) => clock.after(random.next(), () => reply(answer)),
        ),
    );
  }

  return { send };
}
