// The size that letter 1 asks to design for, as data, and what follows from it by division.

const DAY_SECONDS = 86_400;

/** The letter's figures. */
export const letter = {
  nodes: 360,
  targets: 4_900,
  requestsPerSecond: 8_700,
  tokensPerSecond: 1_900_000,
  firstTokenMs: 610,
  tokenGapMs: 68,
  blocks: 800_000_000,
  eventsPerSecond: 400_000,
  customers: 1_900,
  models: 6,
  regions: 4,
  dataCentres: 15,
  changesPerDay: 12_000,
  inForceMs: 10_000,
  coreShare: 0.029,
  controlBytes: 32_000_000,
  controlBytesPerSecond: 3_000,
  controlInstances: 8,
  failuresPerDay: 35,
  restartsPerDay: 510,
};

/** What one process gets of them. */
export const share = {
  processes: letter.nodes + letter.targets,
  changesPerSecond: letter.changesPerDay / DAY_SECONDS,
  /** Each failure or restart is seen as four changes of an instance's state. */
  transitionsPerSecond: (4 * (letter.failuresPerDay + letter.restartsPerDay)) / DAY_SECONDS,
  watchersPerControl: Math.ceil((letter.nodes + letter.targets) / letter.controlInstances),
  requestsPerNode: letter.requestsPerSecond / letter.nodes,
  chunksPerNode: letter.tokensPerSecond / letter.nodes,
  streamsPerNode: (letter.tokensPerSecond / letter.nodes) * (letter.tokenGapMs / 1_000),
  requestsPerTarget: letter.requestsPerSecond / letter.targets,
  chunksPerTarget: letter.tokensPerSecond / letter.targets,
  streamsPerTarget: (letter.tokensPerSecond / letter.targets) * (letter.tokenGapMs / 1_000),
  tokensPerRequest: letter.tokensPerSecond / letter.requestsPerSecond,
  eventsPerTarget: letter.eventsPerSecond / letter.targets,
  blocksPerTarget: letter.blocks / letter.targets,
  targetsPerModel: letter.targets / letter.models,
};

/** Assumption of the design notes: one request in ten may not be repeated. */
export const NON_IDEMPOTENT_SHARE = 0.1;

/** Claims that come in a second at the peak under that assumption. */
export const claimsPerSecond = letter.requestsPerSecond * NON_IDEMPOTENT_SHARE;
