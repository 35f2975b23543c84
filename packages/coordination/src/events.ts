/** Events that this package logs. */
import { defineEvents } from '@jasmineroute/core';

/** Events of the replicated log, ids 2000 to 2099. */
export const coordinationEvents = defineEvents({
  opened: { id: 2000, level: 'info', message: 'replica opened its folder' },
  repairedTail: { id: 2001, level: 'warn', message: 'removed an interrupted write from the journal' },
  founded: { id: 2002, level: 'info', message: 'founded a cluster' },
  joined: { id: 2003, level: 'info', message: 'replica joined a cluster' },
  electionStarted: { id: 2004, level: 'info', message: 'standing for election' },
  leading: { id: 2005, level: 'info', message: 'elected leader' },
  steppedDown: { id: 2006, level: 'warn', message: 'stopped leading' },
  newLeader: { id: 2007, level: 'info', message: 'following a leader' },
  storageFailed: { id: 2008, level: 'error', message: 'storage failed' },
  configuration: { id: 2009, level: 'info', message: 'configuration of replicas changed' },
  snapshotTaken: { id: 2010, level: 'debug', message: 'took a snapshot' },
  snapshotInstalled: { id: 2011, level: 'info', message: 'installed a snapshot of the leader' },
  connectionDropped: { id: 2012, level: 'warn', message: 'closed a connection without responses' },
  vouching: { id: 2013, level: 'info', message: 'in contact with a quorum' },
  isolated: { id: 2014, level: 'warn', message: 'lost contact with the quorum' },
  wrongReplica: { id: 2015, level: 'warn', message: 'another replica answers under this name' },
  lostEntries: {
    id: 2017,
    level: 'error',
    message: "a replica's disk lost entries that the replica had acknowledged; resending them",
  },
  tooFewVotes: { id: 2018, level: 'warn', message: 'too few votes were granted to elect a leader' },
  voterUnresponsive: { id: 2019, level: 'warn', message: 'a voter has not responded for a long time' },
  voterResponsive: { id: 2020, level: 'info', message: 'a voter responds again' },
  tooFewVoters: { id: 2021, level: 'warn', message: 'too few voters for the number of failures to tolerate' },
  snapshotFailed: {
    id: 2030,
    level: 'warn',
    message: 'a snapshot was not saved, so the journal keeps its size; it is tried again',
  },
  storageWorks: { id: 2022, level: 'info', message: 'storage works again' },
  storageAbstention: {
    id: 2023,
    level: 'warn',
    message: 'does not stand for election or vote while its storage fails',
  },
  lateDiskCall: {
    id: 2031,
    level: 'warn',
    message: 'a call to the disk has returned that was given up as hanging',
  },
  startWaits: { id: 2032, level: 'warn', message: 'the start waits for a call to the disk' },
  leadingAgain: { id: 2033, level: 'info', message: 'leads again in its term, as a quorum answers' },
  taskFailed: { id: 2016, level: 'error', message: 'a task of the replica failed' },
});
