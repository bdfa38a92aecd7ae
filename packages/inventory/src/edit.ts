/**
 * Edits to a configuration's rules made by operator commands. The operators'
 * text and its comments are preserved whenever the edit can be made in place.
 */
import { isDeepStrictEqual } from "node:util";
import type { Result } from "neverthrow";
import type { InvalidFile } from "@coltsfootreach/errors";
import type {
  Configuration,
  ParsedConfiguration,
  Rules,
} from "@coltsfootreach/types";
import { formatConfiguration, formatRules } from "./format.ts";
import { parseConfiguration } from "./parse.ts";

/** The rule lists that commands add names to and remove names from. */
export type RuleList = "held" | "drained" | "neverEjected" | "gone";

export interface RuleEdit {
  readonly list: RuleList;
  readonly name: string;
  /** Whether the list contains the name after the edit. */
  readonly listed: boolean;
}

const TOML_KEYS: Readonly<Record<RuleList, string>> = {
  held: "held",
  drained: "drained",
  neverEjected: "never_ejected",
  gone: "gone",
};

/** Returns the edited text, or the same text if the edit changes nothing. */
export function editRules(
  configuration: Configuration,
  edit: RuleEdit,
): Result<string, InvalidFile> {
  return parseConfiguration(configuration).andThen((current) => {
    const rules = applyRuleEdit(current.rules, edit);
    const edited: ParsedConfiguration = { ...current, rules };
    if (isDeepStrictEqual(edited, current)) {
      return parseConfiguration(configuration).map(() => configuration.text);
    }
    return applyTextEdit(configuration, { edited, list: edit.list });
  });
}

function applyRuleEdit(rules: Rules, { list, name, listed }: RuleEdit): Rules {
  const names: readonly string[] = rules[list];
  if (names.includes(name) === listed) return rules;
  const edited = listed
    ? [...names, name]
    : names.filter((item) => item !== name);
  return { ...rules, [list]: edited };
}

function applyTextEdit(
  { version, text }: Configuration,
  { edited, list }: {
    readonly edited: ParsedConfiguration;
    readonly list: RuleList;
  },
): Result<string, InvalidFile> {
  const editedText = replaceRuleList(text, list, edited.rules);
  const isEquivalent = parseConfiguration({ version, text: editedText })
    .map((reparsed) => isDeepStrictEqual(reparsed, edited))
    .unwrapOr(false);
  const result = isEquivalent ? editedText : formatConfiguration(edited);
  return parseConfiguration({ version, text: result }).map(() => result);
}

/** Rewrites one rule list in the text; the caller validates the result. */
function replaceRuleList(text: string, list: RuleList, rules: Rules): string {
  const key = TOML_KEYS[list];
  const values = formatRules(rules)[key as "held"];
  const line = `${key} = ${JSON.stringify(values)}`;
  const header = /^\[rules\][^\n]*$/m.exec(text);
  if (header === null) return `${text.trimEnd()}\n\n[rules]\n${line}\n`;
  const headerEnd = header.index + header[0].length;
  const section = text.slice(headerEnd);
  const listPattern = new RegExp(`^${key}\\s*=\\s*\\[[^\\]]*\\]`, "m");
  const editedSection = listPattern.test(section)
    ? section.replace(listPattern, () => line)
    : `\n${line}${section}`;
  return text.slice(0, headerEnd) + editedSection;
}
