/** Thresholds of the failure detector. */
import * as z from 'zod';

const milliseconds = (value: number, description: string) =>
  z.coerce.number().int().positive().default(value).describe(description);

/** All times in milliseconds. */
export const detectorSettings = z.object({
  beatMs: milliseconds(1_000, 'time between the heartbeats of a member'),
  tickMs: milliseconds(200, 'time between checks for silent members'),
  suspectAfterMs: milliseconds(1_600, 'silence after which a member is suspect'),
  downAfterMs: milliseconds(2_600, 'silence after which a member is down'),
  slowDownAfterMs: milliseconds(
    10_000,
    'silence after which a member is down although its address accepts connections',
  ),
  pauseMs: milliseconds(
    600,
    'gap between two of its own steps that the observer counts as a pause of its process',
  ),
  massShare: z.coerce
    .number()
    .positive()
    .max(1)
    .default(0.3)
    .describe('share of members whose simultaneous silence is first attributed to the observer'),
  massMinimum: milliseconds(2, 'members that may fall silent at the same time whatever their share'),
  massWindowMs: milliseconds(5_000, 'time within which silences count as simultaneous'),
  massHoldMs: milliseconds(8_000, 'how long members that fell silent together are held as suspect'),
  observerAfterMs: milliseconds(1_500, 'silence after which another observer counts as lost'),
  orphanGraceMs: milliseconds(5_000, 'time for the members of a lost observer to reach another one'),
  forgetAfterMs: milliseconds(60_000, 'how long a member that is down stays listed'),
});

/** Checked thresholds. */
export type DetectorSettings = z.output<typeof detectorSettings>;
