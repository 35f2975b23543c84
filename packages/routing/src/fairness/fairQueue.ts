/**
 * Bounded queue with priority classes and fair queueing among the customers of a class.
 *
 * In a plain FIFO queue, a burst of one customer fills the queue, and requests of other customers wait behind it or
 * are refused, which shows in the waiting times by customer. Start-time fair queueing delays only the customer that
 * sends the burst, and a full queue drops the last request of that customer.
 */

/** A queued request. */
export interface QueueItem {
  readonly customer: string;
  /** Higher priorities are always served first. */
  readonly priority: number;
  /** Weight of the customer within its priority class. */
  readonly share: number;
  /** Work of the request, in any unit that all requests use. */
  readonly cost: number;
}

/** Requests of one customer in a priority class, in order of arrival. */
interface CustomerQueue<Item> {
  readonly waiting: { readonly item: Item; readonly start: number; readonly finish: number }[];
  /** Virtual finish time of the customer's last request. */
  finish: number;
  /** Queued work divided by the customer's share. */
  backlog: number;
}

/** One priority class. */
interface PriorityClass<Item> {
  readonly customers: Map<string, CustomerQueue<Item>>;
  /** Virtual start time of the request that was taken last. */
  virtualTime: number;
  count: number;
}

/** Requests queued at one entry for one service. */
export class FairQueue<Item extends QueueItem> {
  /** Classes by priority. */
  private readonly classes = new Map<number, PriorityClass<Item>>();
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Maximum number of queued requests that are served before a new one of this priority. */
  countAhead(priority: number): number {
    let ahead = 0;
    for (const [level, { count }] of this.classes) if (level >= priority) ahead += count;
    return ahead;
  }

  /**
   * Adds a request.
   * @param capacity maximum number of queued requests.
   * @returns the request that was dropped because the queue was full, which may be the new one; otherwise undefined.
   */
  push(item: Item, capacity: number): Item | undefined {
    this.append(item);
    if (this.count <= capacity) return undefined;
    return this.drop();
  }

  /** Removes and returns the next request. */
  shift(): Item | undefined {
    const level = this.findClass(Math.max);
    const priorityClass = level === undefined ? undefined : this.classes.get(level);
    if (priorityClass === undefined) return undefined;
    let next: CustomerQueue<Item> | undefined;
    for (const customerQueue of priorityClass.customers.values()) {
      const start = customerQueue.waiting[0]?.start;
      if (start !== undefined && start < (next?.waiting[0]?.start ?? Number.POSITIVE_INFINITY))
        next = customerQueue;
    }
    const first = next?.waiting[0];
    if (first === undefined) return undefined;
    priorityClass.virtualTime = first.start;
    this.remove(first.item);
    return first.item;
  }

  /** Removes a request. @returns false when it is not in the queue. */
  remove(item: Item): boolean {
    const priorityClass = this.classes.get(item.priority);
    const customerQueue = priorityClass?.customers.get(item.customer);
    const place = customerQueue?.waiting.findIndex((waiting) => waiting.item === item) ?? -1;
    if (priorityClass === undefined || customerQueue === undefined || place < 0) return false;
    customerQueue.waiting.splice(place, 1);
    customerQueue.backlog -= item.cost / item.share;
    priorityClass.count -= 1;
    this.count -= 1;
    this.removeIdle(item.priority, priorityClass);
    return true;
  }

  private append(item: Item): void {
    const priorityClass = this.classes.get(item.priority) ?? emptyClass<Item>();
    const customerQueue = priorityClass.customers.get(item.customer) ?? emptyCustomerQueue<Item>();
    const work = item.cost / item.share;
    const start = Math.max(priorityClass.virtualTime, customerQueue.finish);
    customerQueue.finish = start + work;
    customerQueue.backlog += work;
    customerQueue.waiting.push({ item, start, finish: customerQueue.finish });
    priorityClass.customers.set(item.customer, customerQueue);
    priorityClass.count += 1;
    this.classes.set(item.priority, priorityClass);
    this.count += 1;
  }

  /** Drops the last request of the customer with the largest backlog, in the lowest class. */
  private drop(): Item | undefined {
    const level = this.findClass(Math.min);
    const priorityClass = level === undefined ? undefined : this.classes.get(level);
    let longest: CustomerQueue<Item> | undefined;
    for (const customerQueue of priorityClass?.customers.values() ?? []) {
      if (customerQueue.waiting.length > 0 && customerQueue.backlog >= (longest?.backlog ?? 0))
        longest = customerQueue;
    }
    const last = longest?.waiting.at(-1);
    if (longest === undefined || last === undefined) return undefined;
    longest.finish = last.start;
    this.remove(last.item);
    return last.item;
  }

  /** Priority of the highest or lowest class with requests. */
  private findClass(better: (a: number, b: number) => number): number | undefined {
    let found: number | undefined;
    for (const [level, { count }] of this.classes) {
      if (count > 0) found = found === undefined ? level : better(found, level);
    }
    return found;
  }

  /** Removes customers whose virtual time has passed, and classes without requests. */
  private removeIdle(level: number, priorityClass: PriorityClass<Item>): void {
    if (priorityClass.count === 0) {
      this.classes.delete(level);
      return;
    }
    for (const [customer, customerQueue] of priorityClass.customers) {
      if (customerQueue.waiting.length === 0 && customerQueue.finish <= priorityClass.virtualTime)
        priorityClass.customers.delete(customer);
    }
  }
}

function emptyClass<Item>(): PriorityClass<Item> {
  return { customers: new Map(), virtualTime: 0, count: 0 };
}

function emptyCustomerQueue<Item>(): CustomerQueue<Item> {
  return { waiting: [], finish: 0, backlog: 0 };
}
