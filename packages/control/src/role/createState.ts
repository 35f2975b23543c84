/** The replicated state with its features. */
import { Registry } from '@jasmineroute/core';
import { ClaimState } from '../claims/index.js';
import { DocumentState } from '../documents/index.js';
import { ConfigurationState } from '../configuration/index.js';
import { ControlState } from '../state/index.js';
import type { Feature } from '../state/index.js';
import { TurnState } from '../turns/index.js';

/** The features and the state machine over them. */
export interface StateParts {
  readonly documents: DocumentState;
  readonly claims: ClaimState;
  readonly turns: TurnState;
  readonly configuration: ConfigurationState;
  readonly machine: ControlState;
}

/**
 * Creates an empty state. A feature that is registered here receives its commands, its part of the snapshot and the log
 * time.
 */
export function createState(): StateParts {
  const documents = new DocumentState();
  const claims = new ClaimState();
  const turns = new TurnState();
  const configuration = new ConfigurationState();
  const features = new Registry<Feature>('feature')
    .add('documents', documents)
    .add('claims', claims)
    .add('turns', turns)
    .add('configuration', configuration);
  return { documents, claims, turns, configuration, machine: new ControlState(features) };
}
