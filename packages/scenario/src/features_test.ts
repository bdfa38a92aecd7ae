/**
 * Runs the scripted scenarios under `features/` as mocha tests: one test for
 * each scenario, with the gherkin parser of cucumber.
 */
import { readdirSync, readFileSync } from "node:fs";
import {
  CucumberExpression,
  type Expression,
  ParameterTypeRegistry,
} from "@cucumber/cucumber-expressions";
import {
  AstBuilder,
  compile,
  GherkinClassicTokenMatcher,
  Parser,
} from "@cucumber/gherkin";
import { IdGenerator, type Pickle } from "@cucumber/messages";
import { createStage, type Stage } from "./stage.ts";
import { type Step, STEPS } from "./steps.ts";

const FEATURES = new URL("../features/", import.meta.url);

/** Time in which everything must be answered once the last step is done. */
const REST_MS = 90_000;

interface MatchedStep {
  readonly expression: Expression;
  readonly step: Step;
}

const registry = new ParameterTypeRegistry();
const matchers: readonly MatchedStep[] = STEPS.map((step) => ({
  expression: new CucumberExpression(step.text, registry),
  step,
}));

function runStep(stage: Stage, text: string): void {
  const matching = matchers.flatMap(({ expression, step }) => {
    const found = expression.match(text);
    return found === null ? [] : [{ found, step }];
  });
  if (matching.length !== 1) {
    throw new Error(`${matching.length} steps match "${text}"`);
  }
  const { found, step } = matching[0]!;
  step.run(
    stage,
    ...(found.map((argument) => argument.getValue(null)) as never[]),
  );
}

function runScenario(pickle: Pickle): void {
  const stage = createStage();
  try {
    for (const step of pickle.steps) runStep(stage, step.text);
    stage.finish(REST_MS);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new Error(`${reason}\n${stage.report()}`, { cause: error });
  }
}

function picklesOf(file: string): readonly Pickle[] {
  const newId = IdGenerator.incrementing();
  const matcher = new GherkinClassicTokenMatcher();
  const parser = new Parser(new AstBuilder(newId), matcher);
  const text = readFileSync(new URL(file, FEATURES), "utf8");
  return compile(parser.parse(text), file, newId);
}

for (const file of readdirSync(FEATURES).sort()) {
  describe(`scenarios of ${file}`, () => {
    for (const pickle of picklesOf(file)) {
      it(pickle.name, () => runScenario(pickle));
    }
  });
}
