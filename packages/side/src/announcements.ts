/**
 * Hears the backend server on this VM: it announces itself, renews, and
 * leaves, over HTTP.
 */
import type { AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { Hono } from "hono";
import { z } from "zod";
import type { Announcement } from "@coltsfootreach/types";

/** A backend server that has not renewed for this long is gone. */
const ANNOUNCEMENT_LIFE_MS = 3000;

/** How often lapsed announcements are looked for. */
const CHECK_INTERVAL_MS = 500;

const announcementSchema = z.object({
  server: z.string().min(1),
  origin: z.url(),
  slots: z.int().min(1),
  connections: z.int().min(1),
  classes: z.array(z.string().min(1)).min(1),
  size: z.object({
    cores: z.number().min(0),
    memoryMb: z.number().min(0),
    accelerators: z.number().min(0),
  }),
});

export interface Announcements {
  readonly port: number;
  close(): void;
}

export interface AnnouncementsOptions {
  readonly host: string;
  readonly port: number;
  /** Called when the backend server is new, has changed, or is gone. */
  changed(announcement: Announcement | undefined): void;
}

/** Rejects when the address cannot be listened on. */
export async function hearAnnouncements(
  options: AnnouncementsOptions,
): Promise<Announcements> {
  let current: Announcement | undefined;
  let renewedAtMs = 0;

  function take(next: Announcement | undefined): void {
    const isSame = JSON.stringify(next) === JSON.stringify(current);
    current = next;
    renewedAtMs = performance.now();
    if (!isSame) options.changed(next);
  }

  const app = new Hono();
  app.post("/announcements", async (context) => {
    const parsed = announcementSchema.safeParse(
      await context.req.json().catch(() => undefined),
    );
    if (!parsed.success) {
      const reason = z.prettifyError(parsed.error);
      return context.json({ reason }, 400);
    }
    const other = current !== undefined &&
      current.server !== parsed.data.server;
    if (other) {
      const reason = `this side serves ${current!.server} already`;
      return context.json({ reason }, 409);
    }
    take(parsed.data);
    return context.json({});
  });
  app.delete("/announcements/:server", (context) => {
    if (current?.server === context.req.param("server")) take(undefined);
    return context.json({});
  });

  function checkLapse(): void {
    const silentMs = performance.now() - renewedAtMs;
    if (current !== undefined && silentMs > ANNOUNCEMENT_LIFE_MS) {
      take(undefined);
    }
  }

  const server = createAdaptorServer({ fetch: app.fetch });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const watch = setInterval(checkLapse, CHECK_INTERVAL_MS);
  return {
    port: (server.address() as AddressInfo).port,
    close() {
      clearInterval(watch);
      server.close();
    },
  };
}
