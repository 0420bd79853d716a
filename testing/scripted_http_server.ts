import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** A request that the server received. */
export interface ScriptedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Parsed JSON body; undefined without a body. */
  readonly body: unknown;
}

/** The server's response to a request; `silent` never responds, `reset` closes the connection. */
export type ScriptedAnswer =
  | { readonly status: number; readonly body?: unknown }
  | "silent"
  | "reset";

/** An HTTP server whose responses are set by the test and which records all requests. */
export interface ScriptedServer {
  /** `host:port`. */
  readonly address: string;
  /** Requests received so far, in order. */
  readonly requests: ScriptedRequest[];
  /** Chooses the response to a request; status 200 by default. */
  answer: (request: ScriptedRequest) => ScriptedAnswer;
  close(): Promise<void>;
}

/** Starts a scripted server on a free port. */
export async function startScriptedServer(): Promise<ScriptedServer> {
  const scripted = {
    address: "",
    requests: [] as ScriptedRequest[],
    answer: (_: ScriptedRequest): ScriptedAnswer => ({ status: 200 }),
    close: () => Promise.resolve(),
  };
  const server = createServer((request, response) => {
    let text = "";
    request.on("data", (chunk) => text += chunk);
    request.on("end", () => {
      const received: ScriptedRequest = {
        method: request.method ?? "",
        path: request.url ?? "",
        headers: request.headers,
        body: text === "" ? undefined : JSON.parse(text),
      };
      scripted.requests.push(received);
      const answer = scripted.answer(received);
      if (answer === "silent") return;
      if (answer === "reset") return request.socket.destroy();
      response.writeHead(answer.status, { "content-type": "application/json" });
      response.end(JSON.stringify(answer.body ?? {}));
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  scripted.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  scripted.close = () =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return scripted;
}
