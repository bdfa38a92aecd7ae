import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { credentials } from "@grpc/grpc-js";
import { expect } from "chai";
import { dialAsSide, listenForLinks, type Target } from "@coltsfootreach/link";
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

const NEW_KEY = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256"];

describe("TLS of the links", () => {
  let folder: string;

  const file = (name: string) => join(folder, name);

  function openssl(...args: readonly string[]): void {
    execFileSync("openssl", args, { cwd: folder, stdio: "ignore" });
  }

  function makeAuthority(name: string): void {
    openssl(
      ...["req", "-x509", "-nodes", "-days", "2", "-subj", `/CN=${name}`],
      ...[...NEW_KEY, "-keyout", `${name}.key`, "-out", `${name}.pem`],
    );
  }

  function makeCertificate(name: string, authority: string): void {
    openssl(
      ...["req", "-nodes", "-subj", `/CN=${name}`, ...NEW_KEY],
      ...["-keyout", `${name}.key`, "-out", `${name}.csr`],
    );
    writeFileSync(file("san"), "subjectAltName=IP:127.0.0.1\n");
    openssl(
      ...["x509", "-req", "-days", "2", "-in", `${name}.csr`],
      ...["-CA", `${authority}.pem`, "-CAkey", `${authority}.key`],
      ...["-CAcreateserial", "-extfile", "san", "-out", `${name}.pem`],
    );
  }

  function tlsOf(name: string, authority = "authority") {
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
      console.log("      not run: openssl is not on this machine");
      this.skip();
    }
    makeAuthority("authority");
    makeAuthority("stranger");
    makeCertificate("entry", "authority");
    makeCertificate("side", "authority");
    makeCertificate("intruder", "stranger");
  });

  after(() => rmSync(folder, { recursive: true }));

  /** Resolves with true when the entry got a frame, false when it closed. */
  async function connects(client: Target["credentials"]): Promise<boolean> {
    let heard = (_isHeard: boolean) => {};
    const outcome = new Promise<boolean>((resolve) => heard = resolve);
    const server = (await listenForLinks({
      address: "127.0.0.1:0",
      credentials: readCredentials(tlsOf("entry"))!.server,
      acceptSide: () => ({
        received: () => heard(true),
        drained: () => {},
        closed: () => {},
      }),
      acceptPeer: () => {
        throw new Error("no entry dials here");
      },
    }))._unsafeUnwrap();
    const target = {
      address: `127.0.0.1:${server.port}`,
      credentials: client,
    };
    const stream = dialAsSide(target, {
      received: () => {},
      drained: () => {},
      closed: () => heard(false),
    });
    stream.send(FRAME);
    const isConnected = await outcome;
    stream.close();
    server.close();
    return isConnected;
  }

  it("lets in who shows a certificate of the authority", async () => {
    const { client } = readCredentials(tlsOf("side"))!;
    expect(await connects(client)).to.equal(true);
  });

  it("lets in nobody else", async () => {
    const { client } = readCredentials(tlsOf("intruder"))!;
    expect(await connects(client)).to.equal(false);
    const authority = readFileSync(file("authority.pem"));
    expect(await connects(credentials.createSsl(authority))).to.equal(false);
    expect(await connects(undefined)).to.equal(false);
  });

  it("needs files that can be read and belong together", () => {
    const example = new URL("../../../examples/side.toml", import.meta.url);
    const text = readFileSync(example, "utf8");

    function check(tls: ReturnType<typeof tlsOf>): string {
      const lines = Object.entries(tls)
        .map(([key, value]) => `${key} = "${value}"`);
      const settings = [text, "[tls]", ...lines].join("\n");
      writeFileSync(file("side.toml"), settings);
      return readAnySettings(file("side.toml")).match(
        () => "valid",
        (fault) => fault.message,
      );
    }

    expect(check(tlsOf("side"))).to.equal("valid");
    const missing = check({ ...tlsOf("side"), key: file("none.key") });
    expect(missing).to.match(/side\.toml: tls\.key: .*cannot be read.*ENOENT/);
    const foreign = check({ ...tlsOf("side"), key: file("entry.key") });
    expect(foreign).to.match(/side\.toml: tls: .*cannot be used/);
    expect(missing + foreign).not.to.include("\n");
  });
});
