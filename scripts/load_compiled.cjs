// Runs the bundled program with its V8 code cache. V8 rejects a cache from an
// incompatible version of Node.js and compiles the program instead. Each role
// has its own cache, with the functions it had used when the cache was written.
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

// Without a handler, SIGHUP would end the process. The program adds its own
// handler, but only once it is loaded.
process.on("SIGHUP", () => {});

const PROGRAM = path.join(__dirname, "program.cjs");

const CODE_CACHE = path.join(__dirname, `program.${process.argv[2]}.compiled`);

const source = `(function (require, __dirname) {${
  fs.readFileSync(PROGRAM, "utf8")
}\n})`;

const cachedData = fs.existsSync(CODE_CACHE)
  ? fs.readFileSync(CODE_CACHE)
  : undefined;

const script = new vm.Script(source, { filename: PROGRAM, cachedData });

script.runInThisContext()(require, __dirname);

// Set by the build: run time in ms before the cache is written.
const writeCacheAfterMs = Number(process.env.COLTSFOOTREACH_COMPILE_AFTER_MS);

if (writeCacheAfterMs > 0) {
  setTimeout(() => {
    fs.writeFileSync(`${CODE_CACHE}.${process.pid}`, script.createCachedData());
    fs.renameSync(`${CODE_CACHE}.${process.pid}`, CODE_CACHE);
    process.exit(0);
  }, writeCacheAfterMs);
}
