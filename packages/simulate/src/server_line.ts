/**
 * The way between a side and its backend server, on which orders are lost,
 * carried out late, or answered in vain.
 */
import type { WorkerCore, WorkerEffect } from "@coltsfootreach/worker";
import type { SimulatedClock } from "./clock.ts";
import type { Node, Nodes } from "./node.ts";
import type { Random } from "./random.ts";
import type { ServerStandin } from "./server_standin.ts";

const ORDER_TIMEOUT_MS = 60;

const LIST_TIMEOUT_MS = 50;

/** An order that got no answer may be carried out this much later. */
const LATEST_ORDER_MS = 8000;

/** The side at this end. */
export interface LineEnd extends Node {
  readonly core: WorkerCore;
  /** Share of its orders that get no answer. */
  readonly lossShare: number;
  server(): ServerStandin;
}

export interface ServerLineOptions {
  readonly clock: SimulatedClock;
  readonly random: Random;
  readonly whenAwake: Nodes["whenAwake"];
  node(): LineEnd;
  poke(): void;
}

type Order = Extract<WorkerEffect, { kind: "start" | "stop" | "list" }>;

export interface ServerLine {
  carry(effect: Order): void;
}

export function createServerLine(options: ServerLineOptions): ServerLine {
  const { clock, random, whenAwake, poke } = options;

  function carry(effect: Order): void {
    const node = options.node();
    if (effect.kind === "start") {
      const { request } = effect;
      call((target) => target.start(request), ORDER_TIMEOUT_MS, {
        lost: { kind: "unanswered" },
        reply: (reply) =>
          node.core.startReplied(request.ref, reply, clock.now()),
      });
    } else if (effect.kind === "stop") {
      const { request } = effect;
      call((target) => target.stop(request), ORDER_TIMEOUT_MS, {
        lost: { isConfirmed: false },
        reply: (reply) =>
          node.core.stopReplied(request.ref, reply, clock.now()),
      });
    } else {
      callList(effect);
    }
  }

  /** Gives an order that may be lost, late, or answered in vain. */
  function call<Reply>(
    carry: (target: ServerStandin) => Reply,
    timeoutMs: number,
    to: { readonly lost: Reply; reply(reply: Reply): void },
  ): void {
    const node = options.node();
    const target = node.server();
    const calledIn = node.life;
    const answer = (reply: Reply) =>
      clock.after(random.next(), () => {
        if (node.life !== calledIn) return;
        whenAwake(node, () => {
          to.reply(reply);
          poke();
        });
      });
    if (random.chance(node.lossShare)) {
      const lateMs = 2000 + random.next() * (LATEST_ORDER_MS - 2000);
      const isLate = random.chance(0.5);
      clock.after(isLate ? lateMs : 1, () => {
        if (target.isUp()) carry(target);
      });
      clock.after(timeoutMs, () => answer(to.lost));
      return;
    }
    clock.after(random.next(), () => {
      if (target.isUp()) answer(carry(target));
      else clock.after(timeoutMs, () => answer(to.lost));
    });
  }

  function callList(
    { request }: Extract<WorkerEffect, { kind: "list" }>,
  ): void {
    const node = options.node();
    const target = node.server();
    const calledIn = node.life;
    let isAnswered = false;
    const reply = (answer: Parameters<WorkerCore["listReplied"]>[1]) => {
      if (isAnswered || node.life !== calledIn) return;
      isAnswered = true;
      whenAwake(node, () => {
        node.core.listReplied(request, answer, clock.now());
        poke();
      });
    };
    clock.after(
      request.waitMs + LIST_TIMEOUT_MS,
      () => reply({ kind: "unanswered" }),
    );
    if (random.chance(node.lossShare)) return;
    clock.after(
      random.next(),
      () =>
        target.list(
          request,
          (answer) => clock.after(random.next(), () => reply(answer)),
        ),
    );
  }

  return { carry };
}
