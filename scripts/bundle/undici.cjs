// What the programs use of undici.
exports.Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
exports.Pool = require('undici/lib/dispatcher/pool.js');
exports.buildConnector = require('undici/lib/core/connect.js');
