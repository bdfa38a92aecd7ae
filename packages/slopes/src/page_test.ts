import { readFileSync } from "node:fs";
import { expect } from "chai";
import { fillMarkers } from "./markdown.ts";
import { fillPage } from "./page.ts";
import { CAPACITY_PAGE, SLOPES_FILE } from "./paths.ts";

describe("docs/CAPACITY.md", () => {
  it("has the tables that the committed slopes give", () => {
    const page = readFileSync(CAPACITY_PAGE, "utf8");
    const slopes = JSON.parse(readFileSync(SLOPES_FILE, "utf8"));
    expect(fillPage(page, slopes), "run npm run capacity").to.equal(page);
  });

  it("cannot lose a table", () => {
    expect(() => fillMarkers("# Page\n", { split: "" })).to.throw(
      "the page lacks <!-- capacity:split -->",
    );
  });
});
