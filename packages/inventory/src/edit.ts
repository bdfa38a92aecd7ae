/**
 * Small edits of a configuration's rules by command. The operators' own text,
 * with its comments, is kept wherever the edit can be made in place.
 */
import { isDeepStrictEqual } from "node:util";
import type { Result } from "neverthrow";
import type { InvalidFile } from "@coltsfootreach/errors";
import type {
  Configuration,
  ParsedConfiguration,
  Rules,
} from "@coltsfootreach/types";
import { formatEstate, formatRules } from "./format.ts";
import { parseEstate } from "./parse.ts";

/** The lists in the rules that commands add names to and take them from. */
export type RuleList = "held" | "drained" | "neverEjected" | "gone";

export interface RuleEdit {
  readonly list: RuleList;
  readonly name: string;
  /** True when the name is to be in the list afterwards. */
  readonly listed: boolean;
}

const TOML_KEY: Readonly<Record<RuleList, string>> = {
  held: "held",
  drained: "drained",
  neverEjected: "never_ejected",
  gone: "gone",
};

/** The configuration text after an edit; unchanged when it holds already. */
export function editRules(
  configuration: Configuration,
  edit: RuleEdit,
): Result<string, InvalidFile> {
  return parseEstate(configuration).andThen((estate) => {
    const rules = applyEdit(estate.rules, edit);
    const edited: ParsedConfiguration = { ...estate, rules };
    if (isDeepStrictEqual(edited, estate)) {
      return parseEstate(configuration).map(() => configuration.text);
    }
    return writeEdit(configuration, { edited, list: edit.list });
  });
}

function applyEdit(rules: Rules, { list, name, listed }: RuleEdit): Rules {
  const names: readonly string[] = rules[list];
  if (names.includes(name) === listed) return rules;
  const edited = listed
    ? [...names, name]
    : names.filter((item) => item !== name);
  return { ...rules, [list]: edited };
}

function writeEdit(
  { version, text }: Configuration,
  { edited, list }: {
    readonly edited: ParsedConfiguration;
    readonly list: RuleList;
  },
): Result<string, InvalidFile> {
  const inPlace = replaceList(text, list, edited.rules);
  const kept = parseEstate({ version, text: inPlace })
    .map((estate) => isDeepStrictEqual(estate, edited))
    .unwrapOr(false);
  const chosen = kept ? inPlace : formatEstate(edited);
  return parseEstate({ version, text: chosen }).map(() => chosen);
}

/** Rewrites one list of the rules; the caller checks what came of it. */
function replaceList(text: string, list: RuleList, rules: Rules): string {
  const key = TOML_KEY[list];
  const values = formatRules(rules)[key as "held"];
  const line = `${key} = ${JSON.stringify(values)}`;
  const header = /^\[rules\][^\n]*$/m.exec(text);
  if (header === null) return `${text.trimEnd()}\n\n[rules]\n${line}\n`;
  const start = header.index + header[0].length;
  const section = text.slice(start);
  const existing = new RegExp(`^${key}\\s*=\\s*\\[[^\\]]*\\]`, "m");
  const replaced = existing.test(section)
    ? section.replace(existing, () => line)
    : `\n${line}${section}`;
  return text.slice(0, start) + replaced;
}
