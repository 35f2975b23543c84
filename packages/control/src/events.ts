/** Log events of the control role. */
import { defineEvents } from '@jasmineroute/core';

export const controlEvents = defineEvents({
  started: { id: 3000, level: 'info', message: 'control started' },
  documentAccepted: { id: 3001, level: 'info', message: 'document accepted' },
  documentRefused: { id: 3002, level: 'info', message: 'document refused' },
  documentConflict: { id: 3003, level: 'info', message: 'document conflicts with a newer version' },
  unreadableDocument: {
    id: 3004,
    level: 'error',
    message: 'an accepted document needs a newer release: upgrade this instance',
  },
  claimsFull: { id: 3005, level: 'error', message: 'the claims table is full: new claims are refused' },
  replicasChanged: { id: 3006, level: 'info', message: 'the replicas match the control document' },
  replicasPending: {
    id: 3007,
    level: 'warn',
    message: 'the replicas do not match the control document yet',
  },
  draining: { id: 3008, level: 'info', message: 'control is draining' },
  vouched: { id: 3009, level: 'info', message: 'in touch with a quorum' },
  isolated: {
    id: 3010,
    level: 'warn',
    message: 'out of touch with a quorum: answers may be out of date',
  },
  timeNotAdvanced: { id: 3011, level: 'debug', message: 'the log time could not be advanced' },
  newerRelease: {
    id: 3012,
    level: 'error',
    message:
      'the log holds a command of a newer release: this instance is out of service until it is upgraded',
  },
  configurationAccepted: { id: 3014, level: 'info', message: 'configuration acknowledged' },
  configurationWarned: {
    id: 3039,
    level: 'warn',
    message: 'an acknowledged configuration names something that can not be used',
  },
  configurationUnknown: {
    id: 3015,
    level: 'warn',
    message: 'no quorum confirmed the configuration in time: it may or may not be accepted',
  },
  configurationReadFailed: {
    id: 3030,
    level: 'warn',
    message: 'the configuration was not read: no quorum confirmed which is the newest',
  },
  configurationRead: { id: 3031, level: 'info', message: 'the configuration was read back' },
  weightsNamed: { id: 3016, level: 'info', message: 'new version of weights named' },
  targetAnnounced: { id: 3017, level: 'info', message: 'a target changed its state' },
  leaveReceived: {
    id: 3036,
    level: 'info',
    message: "a target's leave call was applied, or refused as its start is not certain",
  },
  departureNotCopied: {
    id: 3037,
    level: 'info',
    message: 'another control instance did not store that a target drains or has left',
  },
  followerConnected: { id: 3018, level: 'info', message: 'a follower opened its stream' },
  voterRequested: { id: 3019, level: 'info', message: 'an instance requested to become a voter' },
  voterRequestAnswered: {
    id: 3020,
    level: 'info',
    message: 'the answer to the request to become a voter changed',
  },
  voterRequestUnanswered: {
    id: 3021,
    level: 'info',
    message: 'a control instance no longer answers the request to become a voter',
  },
  reportStreamEnded: { id: 3029, level: 'debug', message: "a process's report stream ended" },
  storeUnreachable: { id: 3022, level: 'warn', message: 'a cache store does not answer' },
  storeRecovered: { id: 3023, level: 'info', message: 'a cache store answers again' },
  unreadableCall: { id: 3024, level: 'warn', message: "a target's call could not be parsed" },
  unreadableEvents: {
    id: 3025,
    level: 'warn',
    message: "some of a cache store's events could not be parsed",
  },
  storeListed: {
    id: 3026,
    level: 'info',
    message: 'listed the whole content of a cache store because events were lost',
  },
  startedWithoutDisk: {
    id: 3028,
    level: 'warn',
    message: 'no data folder: this instance runs as a standby without a vote',
  },
  storeMonitorFailed: {
    id: 3038,
    level: 'error',
    message: 'the monitor of a cache store failed and is started again',
  },
  storeListFailed: { id: 3027, level: 'warn', message: 'a cache store did not list its content' },
  recordsNotStored: {
    id: 3032,
    level: 'warn',
    message: 'records were not stored: they may be unknown after a loss of power',
  },
  quarantined: {
    id: 3033,
    level: 'warn',
    message:
      'a request or prompt part is no longer sent to targets: several of them crashed while they ran it',
  },
  released: {
    id: 3035,
    level: 'info',
    message: 'an operator released a request or prompt part that crashed targets',
  },
  verdictChanged: {
    id: 3034,
    level: 'info',
    message:
      'the verdict on a request or prompt part that was running at targets when these crashed has changed',
  },
  folderFilling: {
    id: 3050,
    level: 'warn',
    message: 'the data folder holds most of what it may, or most of its disk',
  },
  folderRelieved: { id: 3051, level: 'info', message: 'the data folder has enough space again' },
  folderGrown: { id: 3052, level: 'info', message: 'the data folder holds more than ever since the start' },
  folderBounded: { id: 3054, level: 'info', message: 'the data folder has a bound' },
  folderFreeUnknown: {
    id: 3053,
    level: 'info',
    message: 'the file system does not tell how much space the data folder has left',
  },
  commandFailed: { id: 3013, level: 'error', message: 'a command could not be applied' },
});
