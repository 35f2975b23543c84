// Ordinary least squares of one quantity against another.

const sum = (values) => values.reduce((total, value) => total + value, 0);

/**
 * Fits a line through points `[x, y]`.
 * `slopeError` is the standard error of the slope; it needs three points at least. `r2` is 1 for a perfect line.
 */
export function fitLine(points) {
  const count = points.length;
  const meanX = sum(points.map(([x]) => x)) / count;
  const meanY = sum(points.map(([, y]) => y)) / count;
  const squaresX = sum(points.map(([x]) => (x - meanX) ** 2));
  const slope = sum(points.map(([x, y]) => (x - meanX) * (y - meanY))) / squaresX;
  const intercept = meanY - slope * meanX;
  const residual = sum(points.map(([x, y]) => (y - intercept - slope * x) ** 2));
  const total = sum(points.map(([, y]) => (y - meanY) ** 2));
  const slopeError = count > 2 ? Math.sqrt(residual / (count - 2) / squaresX) : Number.NaN;
  const r2 = total === 0 ? 1 : 1 - residual / total;
  return { slope, intercept, slopeError, r2, count };
}

/** The value of a fitted line at `x`, and the part of its error that the slope brings. */
export function valueAt(fit, x) {
  return { value: fit.intercept + fit.slope * x, error: fit.slopeError * x };
}

/**
 * Orders of magnitude between the least x above 0 and the largest.
 * A slope taken over less than two is marked on the page.
 */
export function ordersOf(points) {
  const xs = points.map(([x]) => x).filter((x) => x > 0);
  return Math.log10(Math.max(...xs) / Math.min(...xs));
}
