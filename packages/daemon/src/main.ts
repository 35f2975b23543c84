#!/usr/bin/env node
import { main } from './command.js';

await main(process.argv.slice(2), process.env);
