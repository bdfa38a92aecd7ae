/** Recomputes the tables of the capacity page from the committed slopes. */
import { readFileSync, writeFileSync } from "node:fs";
import { fillPage } from "./page.ts";
import { CAPACITY_PAGE, SLOPES_FILE } from "./paths.ts";
import type { Slopes } from "./series.ts";

const slopes: Slopes = JSON.parse(readFileSync(SLOPES_FILE, "utf8"));
const page = readFileSync(CAPACITY_PAGE, "utf8");
writeFileSync(CAPACITY_PAGE, fillPage(page, slopes));
