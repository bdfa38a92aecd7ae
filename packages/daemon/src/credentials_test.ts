import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { credentials } from "@grpc/grpc-js";
import { expect } from "chai";
import {
  dialAsSide,
  type LinkTarget,
  listenForLinks,
} from "@coltsfootreach/link";
import { readAnySettings } from "@coltsfootreach/settings";
import type { SideFrame } from "@coltsfootreach/types";
import { readCredentials } from "./credentials.ts";

const FRAME: SideFrame = {
  side: "s",
  incarnation: "s1",
  sequence: 1,
  stampMs: 1,
  tableVersion: 0,
  configurationVersion: 0,
  load: { running: 0, queued: 0 },
  held: 0,
  messages: [],
};

const NEW_KEY_OPTIONS = [
  "-newkey",
  "ec",
  "-pkeyopt",
  "ec_paramgen_curve:P-256",
];

describe("mutual TLS on links", () => {
  let folder: string;

  const file = (name: string) => join(folder, name);

  function openssl(...args: readonly string[]): void {
    execFileSync("openssl", args, { cwd: folder, stdio: "ignore" });
  }

  function makeAuthority(name: string): void {
    openssl(
      ...["req", "-x509", "-nodes", "-days", "2", "-subj", `/CN=${name}`],
      ...[...NEW_KEY_OPTIONS, "-keyout", `${name}.key`, "-out", `${name}.pem`],
    );
  }

  function makeCertificate(name: string, authority: string): void {
    openssl(
      ...["req", "-nodes", "-subj", `/CN=${name}`, ...NEW_KEY_OPTIONS],
      ...["-keyout", `${name}.key`, "-out", `${name}.csr`],
    );
    writeFileSync(file("san"), "subjectAltName=IP:127.0.0.1\n");
    openssl(
      ...["x509", "-req", "-days", "2", "-in", `${name}.csr`],
      ...["-CA", `${authority}.pem`, "-CAkey", `${authority}.key`],
      ...["-CAcreateserial", "-extfile", "san", "-out", `${name}.pem`],
    );
  }

  function tlsFiles(name: string, authority = "authority") {
    return {
      certificate: file(`${name}.pem`),
      key: file(`${name}.key`),
      authority: file(`${authority}.pem`),
    };
  }

  before(function () {
    folder = mkdtempSync(join(tmpdir(), "coltsfootreach-tls-"));
    try {
      openssl("version");
    } catch {
      console.log("      not run: openssl is not installed");
      this.skip();
    }
    makeAuthority("authority");
    makeAuthority("other-authority");
    makeCertificate("entry", "authority");
    makeCertificate("side", "authority");
    makeCertificate("untrusted", "other-authority");
  });

  after(() => rmSync(folder, { recursive: true }));

  /** Resolves to true if the entry receives a frame, false if it closes. */
  async function isAccepted(
    client: LinkTarget["credentials"],
  ): Promise<boolean> {
    let settle = (_isAccepted: boolean) => {};
    const outcome = new Promise<boolean>((resolve) => settle = resolve);
    const server = (await listenForLinks({
      address: "127.0.0.1:0",
      credentials: readCredentials(tlsFiles("entry"))!.server,
      acceptSide: () => ({
        received: () => settle(true),
        drained: () => {},
        closed: () => {},
      }),
      acceptPeer: () => {
        throw new Error("unexpected peer connection");
      },
    }))._unsafeUnwrap();
    const target = {
      address: `127.0.0.1:${server.port}`,
      credentials: client,
    };
    const stream = dialAsSide(target, {
      received: () => {},
      drained: () => {},
      closed: () => settle(false),
    });
    stream.send(FRAME);
    const isFrameReceived = await outcome;
    stream.close();
    server.close();
    return isFrameReceived;
  }

  it("accepts a client certificate signed by the authority", async () => {
    const { client } = readCredentials(tlsFiles("side"))!;
    expect(await isAccepted(client)).to.equal(true);
  });

  it("rejects clients without a certificate signed by the authority", async () => {
    const { client } = readCredentials(tlsFiles("untrusted"))!;
    expect(await isAccepted(client)).to.equal(false);
    const authority = readFileSync(file("authority.pem"));
    expect(await isAccepted(credentials.createSsl(authority))).to.equal(false);
    expect(await isAccepted(undefined)).to.equal(false);
  });

  it("rejects files that are unreadable or do not match", () => {
    const example = new URL("../../../examples/side.toml", import.meta.url);
    const text = readFileSync(example, "utf8");

    function validateSettings(tls: ReturnType<typeof tlsFiles>): string {
      const lines = Object.entries(tls)
        .map(([key, value]) => `${key} = "${value}"`);
      const settings = [text, "[tls]", ...lines].join("\n");
      writeFileSync(file("side.toml"), settings);
      return readAnySettings(file("side.toml")).match(
        () => "valid",
        (error) => error.message,
      );
    }

    expect(validateSettings(tlsFiles("side"))).to.equal("valid");
    const missing = validateSettings({
      ...tlsFiles("side"),
      key: file("none.key"),
    });
    expect(missing).to.match(/side\.toml: tls\.key: .*cannot be read.*ENOENT/);
    const mismatched = validateSettings({
      ...tlsFiles("side"),
      key: file("entry.key"),
    });
    expect(mismatched).to.match(/side\.toml: tls: .*cannot be used/);
    expect(missing + mismatched).not.to.include("\n");
  });
});
