/** HTTP server with JSON bodies for the stand-ins. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";

export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  readonly body: Readonly<Record<string, unknown>>;
  readonly socket: Socket;
  header(name: string): string | undefined;
}

export interface JsonResponse {
  readonly status: number;
  readonly body?: unknown;
}

export interface JsonServer {
  close(): Promise<void>;
}

/** The handler returns `undefined` for a request that gets no response. */
export async function serveJson(
  address: string,
  handle: (request: JsonRequest) => Promise<JsonResponse | undefined>,
): Promise<JsonServer> {
  const server: Server = createServer(async (message, response) => {
    try {
      const request = await readRequest(message);
      const reply = await handle(request);
      if (reply !== undefined) respond(response, reply);
    } catch {
      message.socket.destroy();
    }
  });
  const [host, port] = address.split(":");
  await new Promise<void>((resolve, reject) => {
    server.on("error", reject);
    server.listen(Number(port), host, resolve);
  });
  return {
    close() {
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      server.closeAllConnections();
      return closed;
    },
  };
}

async function readRequest(message: IncomingMessage): Promise<JsonRequest> {
  let text = "";
  for await (const chunk of message) text += chunk;
  return {
    method: message.method ?? "GET",
    url: new URL(message.url ?? "/", "http://standin"),
    body: text === "" ? {} : JSON.parse(text),
    socket: message.socket,
    header(name) {
      const value = message.headers[name];
      return typeof value === "string" ? value : undefined;
    },
  };
}

function respond(response: ServerResponse, reply: JsonResponse): void {
  if (response.destroyed) return;
  response.writeHead(reply.status, { "content-type": "application/json" });
  response.end(JSON.stringify(reply.body ?? {}));
}
