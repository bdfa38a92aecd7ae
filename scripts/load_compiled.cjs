// Runs the bundled program with V8's compiled code, where that fits this
// version of Node.js; it is compiled anew otherwise.
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

const PROGRAM = path.join(__dirname, "program.cjs");

const COMPILED = path.join(__dirname, "program.compiled");

const source = `(function (require, __dirname) {${
  fs.readFileSync(PROGRAM, "utf8")
}\n})`;

const cachedData = fs.existsSync(COMPILED)
  ? fs.readFileSync(COMPILED)
  : undefined;

const script = new vm.Script(source, { filename: PROGRAM, cachedData });

script.runInThisContext()(require, __dirname);

if (process.env.COLTSFOOTREACH_COMPILE === "1") {
  process.on("exit", () => {
    fs.writeFileSync(COMPILED, script.createCachedData());
  });
}
