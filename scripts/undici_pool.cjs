// Stands for undici in the platform's bundle.
exports.Pool = require("undici/lib/dispatcher/pool.js");
