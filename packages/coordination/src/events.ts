/** Events that this package logs. */
import { defineEvents } from '@jasmineroute/core';

/** Numbered events, 2000 to 2099 for the replicated log. */
export const coordinationEvents = defineEvents({
  opened: { id: 2000, level: 'info', message: 'replica opened its folder' },
  repairedTail: { id: 2001, level: 'warn', message: 'cut an interrupted write off the journal' },
  founded: { id: 2002, level: 'info', message: 'founded a cluster' },
  joined: { id: 2003, level: 'info', message: 'replica belongs to a cluster' },
  campaign: { id: 2004, level: 'info', message: 'standing for election' },
  leading: { id: 2005, level: 'info', message: 'elected leader' },
  steppedDown: { id: 2006, level: 'warn', message: 'stopped leading' },
  newLeader: { id: 2007, level: 'info', message: 'following a leader' },
  storageFailed: { id: 2008, level: 'error', message: 'storage failed' },
  configuration: { id: 2009, level: 'info', message: 'configuration of replicas changed' },
  snapshotTaken: { id: 2010, level: 'debug', message: 'took a snapshot' },
  snapshotInstalled: { id: 2011, level: 'info', message: 'installed a snapshot of the leader' },
  connectionDropped: { id: 2012, level: 'warn', message: 'dropped a connection that gave no answer' },
  vouching: { id: 2013, level: 'info', message: 'in contact with a quorum: vouching' },
  isolated: { id: 2014, level: 'warn', message: 'without contact to a quorum: not vouching' },
  wrongReplica: { id: 2015, level: 'warn', message: 'another replica answers under this name' },
  lostEntries: {
    id: 2017,
    level: 'error',
    message: 'a replica no longer has entries that it acknowledged: its disk lost them; they are sent again',
  },
  tooFewVotes: { id: 2018, level: 'warn', message: 'too few voters give their vote: no leader' },
  voterSilent: { id: 2019, level: 'warn', message: 'a voter has given no answer for long' },
  voterAnswers: { id: 2020, level: 'info', message: 'a voter answers again' },
  tooFewVoters: { id: 2021, level: 'warn', message: 'fewer voters than the losses to be borne ask for' },
  taskFailed: { id: 2016, level: 'error', message: 'a task of the replica failed' },
});
