/** Text for people: columns, times and bars. */

const COLUMN_GAP = "  ";
const BAR_WIDTH = 40;

/** Rows in aligned columns; the first row is the heading. */
export function formatTable(rows: readonly (readonly unknown[])[]): string {
  const cells = rows.map((row) => row.map((cell) => String(cell ?? "-")));
  const columns = Math.max(0, ...cells.map((row) => row.length));
  const widths = Array.from(
    { length: columns },
    (_, column) => Math.max(...cells.map((row) => row[column]?.length ?? 0)),
  );
  return cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!))
      .join(COLUMN_GAP).trimEnd()
  ).join("\n");
}

export function formatTime(ms: number): string {
  return new Date(ms).toISOString();
}

/** A bar whose full width stands for `most`. */
export function formatBar(value: number, most: number): string {
  const width = most === 0 ? 0 : Math.ceil((value / most) * BAR_WIDTH);
  return "#".repeat(width);
}

/** A number with at most one digit after the point. */
export function formatNumber(value: number): string {
  return String(Math.round(value * 10) / 10);
}

export function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value) ?? "-";
}
