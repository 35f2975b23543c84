/**
 * Bounded queue: priority classes first, and a fair share among the customers of a class.
 *
 * What goes wrong: one customer sends a flood, its requests fill the queue, and the others' wait behind it or
 * are refused. Waiting times by customer show it. Here each customer's requests are ordered by start-time fair
 * queueing, so that a flood waits behind itself, and a full queue gives up the flood's last request.
 */

/** A request that waits. */
export interface Queued {
  readonly customer: string;
  /** Larger goes first, always. */
  readonly priority: number;
  /** Weight of the customer's share within its class. */
  readonly share: number;
  /** Work, in any one unit. */
  readonly cost: number;
}

/** One customer's requests in a class, in order of arrival. */
interface Line<Item> {
  readonly waiting: { readonly item: Item; readonly start: number; readonly finish: number }[];
  /** Virtual time at which the customer's last request finishes. */
  finish: number;
  /** Work that waits over the customer's share. */
  backlog: number;
}

/** One priority class. */
interface PriorityClass<Item> {
  readonly lines: Map<string, Line<Item>>;
  /** Start of the request that was taken last. */
  virtualTime: number;
  size: number;
}

/** Requests that wait at one entry for one service. */
export class FairQueue<Item extends Queued> {
  /** By priority. */
  private readonly classes = new Map<number, PriorityClass<Item>>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Requests that go before a new one of this priority, at most. */
  ahead(priority: number): number {
    let ahead = 0;
    for (const [level, { size }] of this.classes) if (level >= priority) ahead += size;
    return ahead;
  }

  /**
   * Adds a request.
   * @param capacity most requests that may wait.
   * @returns the request that is given up for it when the queue is full, which may be the new one itself.
   */
  push(item: Item, capacity: number): Item | undefined {
    this.append(item);
    if (this.count <= capacity) return undefined;
    return this.giveUp();
  }

  /** Takes the next request. */
  shift(): Item | undefined {
    const level = this.level(Math.max);
    const queue = level === undefined ? undefined : this.classes.get(level);
    if (queue === undefined) return undefined;
    let next: Line<Item> | undefined;
    for (const line of queue.lines.values()) {
      const start = line.waiting[0]?.start;
      if (start !== undefined && start < (next?.waiting[0]?.start ?? Number.POSITIVE_INFINITY)) next = line;
    }
    const first = next?.waiting[0];
    if (first === undefined) return undefined;
    queue.virtualTime = first.start;
    this.remove(first.item);
    return first.item;
  }

  /** Takes a request out. @returns false when it does not wait here. */
  remove(item: Item): boolean {
    const queue = this.classes.get(item.priority);
    const line = queue?.lines.get(item.customer);
    const place = line?.waiting.findIndex((waiting) => waiting.item === item) ?? -1;
    if (queue === undefined || line === undefined || place < 0) return false;
    line.waiting.splice(place, 1);
    line.backlog -= item.cost / item.share;
    queue.size -= 1;
    this.count -= 1;
    this.forgetIdle(item.priority, queue);
    return true;
  }

  private append(item: Item): void {
    const queue = this.classes.get(item.priority) ?? emptyClass<Item>();
    const line = queue.lines.get(item.customer) ?? emptyLine<Item>();
    const work = item.cost / item.share;
    const start = Math.max(queue.virtualTime, line.finish);
    line.finish = start + work;
    line.backlog += work;
    line.waiting.push({ item, start, finish: line.finish });
    queue.lines.set(item.customer, line);
    queue.size += 1;
    this.classes.set(item.priority, queue);
    this.count += 1;
  }

  /** Gives up the last request of the customer with the most work for its share, in the lowest class. */
  private giveUp(): Item | undefined {
    const level = this.level(Math.min);
    const queue = level === undefined ? undefined : this.classes.get(level);
    let longest: Line<Item> | undefined;
    for (const line of queue?.lines.values() ?? []) {
      if (line.waiting.length > 0 && line.backlog >= (longest?.backlog ?? 0)) longest = line;
    }
    const last = longest?.waiting.at(-1);
    if (longest === undefined || last === undefined) return undefined;
    longest.finish = last.start;
    this.remove(last.item);
    return last.item;
  }

  /** Highest or lowest class with requests. */
  private level(better: (a: number, b: number) => number): number | undefined {
    let found: number | undefined;
    for (const [level, { size }] of this.classes) {
      if (size > 0) found = found === undefined ? level : better(found, level);
    }
    return found;
  }

  /** Customers whose work is done carry nothing over; a class without requests starts anew. */
  private forgetIdle(level: number, queue: PriorityClass<Item>): void {
    if (queue.size === 0) {
      this.classes.delete(level);
      return;
    }
    for (const [customer, line] of queue.lines) {
      if (line.waiting.length === 0 && line.finish <= queue.virtualTime) queue.lines.delete(customer);
    }
  }
}

function emptyClass<Item>(): PriorityClass<Item> {
  return { lines: new Map(), virtualTime: 0, size: 0 };
}

function emptyLine<Item>(): Line<Item> {
  return { waiting: [], finish: 0, backlog: 0 };
}
