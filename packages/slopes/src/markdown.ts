/** Tables in Markdown, laid out as the formatter leaves them. */

export interface MarkdownTable {
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const SHORTEST_RULE = 3;

export function formatTable({ head, rows }: MarkdownTable): string {
  const widths = head.map((title, column) =>
    Math.max(
      SHORTEST_RULE,
      title.length,
      ...rows.map((row) => row[column]!.length),
    )
  );
  const line = (cells: readonly string[]) =>
    `| ${cells.map((cell, at) => cell.padEnd(widths[at]!)).join(" | ")} |`;
  const rule = line(widths.map((width) => "-".repeat(width)));
  return [line(head), rule, ...rows.map(line)].join("\n");
}

const MILLION = 1e6;

const THOUSAND = 1e3;

const WHOLE_FROM = 100;

/** Three digits or so, with thousands separated. */
export function count(value: number): string {
  if (!Number.isFinite(value)) return "none";
  if (value >= WHOLE_FROM) {
    const digits = Number(value.toPrecision(3));
    return Math.round(digits).toLocaleString("en");
  }
  return String(Number(value.toPrecision(2)));
}

export function bytes(value: number): string {
  if (!Number.isFinite(value)) return "none";
  if (value >= THOUSAND * MILLION) {
    return `${count(value / MILLION / THOUSAND)} GB`;
  }
  if (value >= MILLION) return `${count(value / MILLION)} MB`;
  return value >= THOUSAND
    ? `${count(value / THOUSAND)} KB`
    : `${count(value)} B`;
}

/** Replaces what stands between the markers of each name. */
export function fillMarkers(
  page: string,
  contents: Readonly<Record<string, string>>,
): string {
  let filled = page;
  for (const [name, content] of Object.entries(contents)) {
    const begin = `<!-- capacity:${name} -->`;
    const end = `<!-- /capacity:${name} -->`;
    const from = filled.indexOf(begin);
    const to = filled.indexOf(end);
    if (from < 0 || to < from) throw new Error(`the page lacks ${begin}`);
    filled = filled.slice(0, from + begin.length) +
      `\n\n${content}\n\n` + filled.slice(to);
  }
  return filled;
}
