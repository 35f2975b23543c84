/** Measuring functions for benchmarks. */
import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Monotonic time in milliseconds, on one clock for all threads. */
export function machineTime(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/** The value below which the given share of the samples lies. */
export function percentile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
}

/** Bytes of live objects on the heap after garbage collection. */
export function liveHeap(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  for (let round = 0; round < 4; round += 1) collect();
  return process.memoryUsage().heapUsed;
}

/** Least-squares slope of y over x. */
export function slope(points: readonly (readonly [number, number])[]): number {
  const mean = (pick: 0 | 1): number => points.reduce((sum, point) => sum + point[pick], 0) / points.length;
  const [meanX, meanY] = [mean(0), mean(1)];
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  return covariance / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
}

/** A TCP proxy that counts the payload bytes it forwards. */
export class ByteCounter {
  /** Payload bytes forwarded so far in both directions. */
  bytes = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((from) => {
    const to = connect(this.port, '127.0.0.1');
    this.forward(from, to);
    this.forward(to, from);
  });

  constructor(private readonly port: number) {}

  /** Starts listening. Returns the host:port to connect to. */
  async open(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (data: Buffer) => {
      this.bytes += data.length;
      to.write(data);
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
