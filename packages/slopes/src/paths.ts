/** Files of the capacity page. */
import { fileURLToPath } from "node:url";

function pathOf(path: string): string {
  return fileURLToPath(new URL(`../../../${path}`, import.meta.url));
}

export const SLOPES_FILE = pathOf("docs/capacity/slopes.json");

export const CAPACITY_PAGE = pathOf("docs/CAPACITY.md");
