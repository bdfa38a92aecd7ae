/** The table of the lines that everything else is worked out from. */
import type { MarkdownTable } from "./markdown.ts";
import type { Slopes } from "./series.ts";

export function createSeriesTable(slopes: Slopes): MarkdownTable {
  return {
    head: [
      "what",
      "at 0",
      "for each",
      "slope",
      "residual",
      "points",
      "subject",
    ],
    rows: slopes.series.map((series) => [
      `${series.y} (\`${series.name}\`)`,
      String(series.fit.base),
      series.x,
      String(series.fit.slope),
      `${(100 * series.fit.residual).toFixed(1)}%`,
      series.points.map(({ x }) => x).join(", "),
      series.subject,
    ]),
  };
}
