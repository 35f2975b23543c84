#!/usr/bin/env node
// In the repository, so that npm can link it before the first build.
import '../dist/main.js';
