/** Makes edits as an operator does, and knows when they were accepted. */
import { readFileSync } from "node:fs";
import {
  applyChange,
  type ApplyOutcome,
  createConfigurationKeys,
  createConfigurationRepository,
  type Difference,
  findDifferences,
} from "@coltsfootreach/configure";
import { editRules, parseConfiguration } from "@coltsfootreach/inventory";
import { createEtcdStore } from "@coltsfootreach/store";
import type { ActionKind } from "@coltsfootreach/types";
import { v4 } from "uuid";

const EXAMPLE = new URL("../../../examples/delta.toml", import.meta.url);

const PREFIX = "coltsfootreach/";

const TIMEOUT_MS = 1000;

const WATCH_SILENT_MS = 60_000;

/** Changes the share of a tenant, or holds or releases a kind of act. */
export type Edit =
  | { readonly tenant: string; readonly weight: number }
  | { readonly kind: ActionKind; readonly held: boolean };

export interface Accepted {
  readonly version: number;
  /** When the operator was told, in Unix milliseconds. */
  readonly atMs: number;
}

export interface Operator {
  /** Puts the edit on top of what is in force; throws unless accepted. */
  apply(edit: Edit): Promise<Accepted>;
  /** Makes the edit on a given version, whatever came after it. */
  applyOn(base: Base, edit: Edit): Promise<ApplyOutcome>;
  read(): Promise<Base>;
  /** What changed between two versions. */
  differences(from: number, to: number): Promise<readonly Difference[]>;
  close(): Promise<void>;
}

export interface Base {
  readonly version: number;
  readonly text: string;
}

export function createOperator(storeAddress: string, author: string): Operator {
  const store = createEtcdStore({
    endpoints: [storeAddress],
    timeoutMs: TIMEOUT_MS,
    watchSilentMs: WATCH_SILENT_MS,
  });
  const keys = createConfigurationKeys(PREFIX);
  const repository = createConfigurationRepository({ store, keys });

  async function read(): Promise<Base> {
    const current = await repository.readCurrent();
    const found = current._unsafeUnwrap();
    return found ?? { version: 0, text: readFileSync(EXAMPLE, "utf8") };
  }

  async function applyOn(base: Base, edit: Edit): Promise<ApplyOutcome> {
    const applied = await applyChange({
      store,
      keys,
      check: parseConfiguration,
    }, {
      text: editText(base, edit),
      baseVersion: base.version,
      author,
      note: "propagation",
      token: v4(),
      atMs: Date.now(),
    });
    return applied._unsafeUnwrap();
  }

  async function estateOf(version: number) {
    const record = (await repository.readVersion(version))._unsafeUnwrap();
    const text = await repository.readText(record!);
    return parseConfiguration(text._unsafeUnwrap())._unsafeUnwrap();
  }

  return {
    read,
    applyOn,
    async apply(edit) {
      const outcome = await applyOn(await read(), edit);
      const atMs = Date.now();
      if (outcome.kind !== "accepted") throw new Error(outcome.kind);
      return { version: outcome.version, atMs };
    },
    async differences(from, to) {
      return findDifferences(await estateOf(from), await estateOf(to));
    },
    close: () => store.close(),
  };
}

function editText(base: Base, edit: Edit): string {
  if ("held" in edit) {
    const { kind, held } = edit;
    const change = { list: "held", name: kind, listed: held } as const;
    return editRules(base, change)._unsafeUnwrap();
  }
  const { tenant, weight } = edit;
  const line = new RegExp(`(name = "${tenant}"\\nweight = )[0-9]+`);
  return base.text.replace(line, `$1${weight}`);
}
