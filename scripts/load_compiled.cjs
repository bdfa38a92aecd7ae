// Runs the bundled program with V8's compiled code, where that fits this
// version of Node.js; it is compiled anew otherwise. Each role has a file of
// its own: what it has used by the time the file is written.
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

const PROGRAM = path.join(__dirname, "program.cjs");

const COMPILED = path.join(__dirname, `program.${process.argv[2]}.compiled`);

const source = `(function (require, __dirname) {${
  fs.readFileSync(PROGRAM, "utf8")
}\n})`;

const cachedData = fs.existsSync(COMPILED)
  ? fs.readFileSync(COMPILED)
  : undefined;

const script = new vm.Script(source, { filename: PROGRAM, cachedData });

script.runInThisContext()(require, __dirname);

// The build lets the program run for so many milliseconds.
const compileAfterMs = Number(process.env.COLTSFOOTREACH_COMPILE_AFTER_MS);

if (compileAfterMs > 0) {
  setTimeout(() => {
    fs.writeFileSync(`${COMPILED}.${process.pid}`, script.createCachedData());
    fs.renameSync(`${COMPILED}.${process.pid}`, COMPILED);
    process.exit(0);
  }, compileAfterMs);
}
