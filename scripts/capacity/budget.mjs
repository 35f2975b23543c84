// The letter's size worked out from slopes: one function for each role.
import { valueAt } from './fit.mjs';
import { claimsPerSecond, letter, share } from './letter.mjs';

const CLAIM_DEFAULT_LIMIT = 1_000_000;
/** Beats and heartbeats come once a second to and from every process. */
const BEATS_PER_SECOND = 1;

const runOf = (results, name, multiple) =>
  results.node.runs.find((run) => run.name === name && run.multiple === multiple);

/** What control costs on a node, at no changes and at the letter's rate of changes (on the fitted line). */
export function nodeCost(results, series, name) {
  const memory = results.node.memory[name];
  const core = series[name === 'agent' ? 'agentChangeCore' : 'entryChangeCore'].fit;
  const moved = series[name === 'agent' ? 'agentChangeBytes' : 'entryChangeBytes'].fit;
  const [idle, planned] = [0, 1].map((multiple) => runOf(results, name, multiple));
  return {
    memory,
    idleCore: idle.coreShare,
    idleBytes: idle.bytesPerSecond,
    plannedCore: planned.coreShare,
    plannedBytes: planned.bytesPerSecond,
    core: valueAt(core, share.changesPerSecond),
    bytes: valueAt(moved, share.changesPerSecond),
    firstBytes: results.node.firstBytes[name],
  };
}

/**
 * Processor time with a data folder, where kept files are written: with no changes, at the letter's, on the line.
 * Writes that come close together are joined, so the line is too high at low rates, and the measured value is judged.
 */
export function keptCost(results, series) {
  const [idle, planned] = [0, 1].map((multiple) => runOf(results, 'entry with kept file', multiple));
  const core = valueAt(series.keptChangeCore.fit, share.changesPerSecond);
  return { idleCore: idle.coreShare, plannedCore: planned.coreShare, core };
}

/** An entry at the letter's size. */
export function entryCost(results, series) {
  const { slope: request } = series.entryRequest.fit;
  const { slope: chunk, slopeError } = series.entryChunk.fit;
  const decision = valueAt(series.decisionTarget.fit, share.targetsPerModel);
  const claims = claimsPerSecond / letter.nodes;
  return {
    view: series.viewTarget.fit.slope * letter.targets + series.viewCustomer.fit.slope * letter.customers,
    requestCore: request * share.requestsPerNode,
    chunkCore: chunk * share.chunksPerNode,
    chunkError: slopeError * share.chunksPerNode,
    decisionMicros: decision.value + results.routing.chainMicros,
    probesPerRequest: results.routing.decisions.at(-1).probes,
    claims,
    claimBytes: claims * series.claimBytes.fit.slope,
    resident: Math.max(...results.stream.byChunks.map(({ entryResident }) => entryResident)),
  };
}

/** An agent at the letter's size. */
export function agentCost(results, series) {
  const { slope: chunk, slopeError } = series.agentChunk.fit;
  return {
    index: series.indexBytes.fit.slope * share.blocksPerTarget,
    eventCore: series.indexEvent.fit.slope * share.eventsPerTarget,
    chunkCore: chunk * share.chunksPerTarget,
    chunkError: slopeError * share.chunksPerTarget,
    requestCore: series.agentRequest.fit.slope * share.requestsPerTarget,
    streams: series.gateStream.fit.slope * share.streamsPerTarget,
    lookupMicros: results.routing.index.find(({ blocks }) => blocks > 100_000).lookupMicros,
    resident: Math.max(...results.stream.byChunks.map(({ agentResident }) => agentResident)),
  };
}

/** A control instance with an eighth of the watchers, and again with a seventh when one is lost. */
export function controlCost(results, series) {
  const core = valueAt(series.controlWatcherCore.fit, share.watchersPerControl);
  const lost = valueAt(series.controlWatcherCore.fit, share.processes / (letter.controlInstances - 1));
  return {
    watcherCore: core,
    watcherCoreOneLost: lost,
    watcherBytes: valueAt(series.controlWatcherBytes.fit, share.watchersPerControl),
    resident: valueAt(series.controlWatcherMemory.fit, share.watchersPerControl),
    exchangeCore:
      (results.control.idleProcessor - results.control.aloneProcessor) / (results.control.replicas - 1),
    exchangeBytes: results.control.idleBytes / (results.control.replicas - 1),
    changeCore: series.controlChangeCore.fit.slope * share.changesPerSecond,
    leaderCore: valueAt(series.claimLeaderCore.fit, claimsPerSecond),
    followerCore: valueAt(series.claimFollowerCore.fit, claimsPerSecond),
    documents: series.controlCustomer.fit.slope * letter.customers,
    beats: share.watchersPerControl * BEATS_PER_SECOND,
  };
}

/** Claims held, and their memory on every control instance, by window in seconds. */
export function claimMemory(series, windowSeconds) {
  const held = claimsPerSecond * windowSeconds;
  const settled = valueAt(series.settledClaim.fit, held);
  const snapshot = valueAt(series.claimSnapshot.fit, held);
  return { held, settled, snapshot: snapshot.value, withinDefault: held <= CLAIM_DEFAULT_LIMIT };
}

/** Seconds of window that the default limit of claims holds. */
export const defaultWindowSeconds = CLAIM_DEFAULT_LIMIT / claimsPerSecond;

/** Processes lost together, and the bytes with which they come back when their view is empty. */
export function losses(results) {
  const first = results.node.firstBytes;
  const of = (name, nodes, targets) => ({
    name,
    nodes,
    targets,
    processes: nodes + targets,
    returnBytes: nodes * first.entry + targets * first.agent,
    listedBytes: (nodes + targets) * results.node.instanceBytes,
  });
  const part = (count) => [Math.round(letter.nodes / count), Math.round(letter.targets / count)];
  return [
    of('one instance', 0, 1),
    of('a rack or switch (taken as 1 in 10 of a data centre)', ...part(letter.dataCentres * 10)),
    of('a data centre (1 of 15)', ...part(letter.dataCentres)),
    of('a region (1 of 4)', ...part(letter.regions)),
  ];
}

/** Bytes a second that 545 failures and restarts a day bring to one entry. */
export function churnBytes(results) {
  return share.transitionsPerSecond * results.node.instanceBytes;
}
