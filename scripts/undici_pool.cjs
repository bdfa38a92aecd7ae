// Replaces undici in the platform bundle; exports only `Pool`.
exports.Pool = require("undici/lib/dispatcher/pool.js");
