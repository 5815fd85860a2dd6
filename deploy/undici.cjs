/**
 * The HTTP clients of undici without `fetch`, web sockets and caches, for the bundle of the platform. Loading those took a third
 * of the start-up time of a process. Processes are restarted from time to time, and callers wait during a start.
 */
'use strict';
const buildConnector = require('../node_modules/undici/lib/core/connect.js');
const api = require('../node_modules/undici/lib/api/index.js');
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');
const Pool = require('../node_modules/undici/lib/dispatcher/pool.js');

Object.assign(Dispatcher.prototype, api);

// The exports have the names that undici gives them.
exports.buildConnector = buildConnector;
exports.Client = Client;
exports.Pool = Pool;
